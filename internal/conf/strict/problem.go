package strict

import (
	"fmt"
	"slices"
	"strings"
)

// Pos is a position in a file; line and column count from 1.
type Pos struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column without the parts that are unset.
func (pos Pos) String() string {
	switch {
	case pos.Line == 0:
		return pos.File
	case pos.Column == 0:
		return fmt.Sprintf("%s:%d", pos.File, pos.Line)
	}
	return fmt.Sprintf("%s:%d:%d", pos.File, pos.Line, pos.Column)
}

// Problem is one error in an input, and how to fix it.
type Problem struct {
	Pos     Pos
	Message string
	Remedy  string
}

// Error returns the problem on one line.
func (pr Problem) Error() string {
	if pr.Remedy == "" {
		return fmt.Sprintf("%s: %s", pr.Pos, pr.Message)
	}
	return fmt.Sprintf("%s: %s; %s", pr.Pos, pr.Message, pr.Remedy)
}

// Problems lists the problems of an input.
type Problems []Problem

// Error returns the problems, one per line.
func (prs Problems) Error() string {
	lines := make([]string, len(prs))
	for i, pr := range prs {
		lines[i] = pr.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (prs *Problems) Add(pos Pos, message, remedy string) {
	*prs = append(*prs, Problem{Pos: pos, Message: message, Remedy: remedy})
}

// Err returns the problems sorted by position, or nil if there are none.
func (prs Problems) Err() error {
	if len(prs) == 0 {
		return nil
	}
	slices.SortStableFunc(prs, func(a, b Problem) int {
		if c := strings.Compare(a.Pos.File, b.Pos.File); c != 0 {
			return c
		}
		if a.Pos.Line != b.Pos.Line {
			return a.Pos.Line - b.Pos.Line
		}
		return a.Pos.Column - b.Pos.Column
	})
	return prs
}
