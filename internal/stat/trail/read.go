package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// Line is one line of a daemon's log.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`
	// Fields are the others, as they were written.
	Fields map[string]any `json:"fields"`
}

// Text returns a field that is a text, empty where it is not there.
func (ln *Line) Text(name string) string {
	s, _ := ln.Fields[name].(string)
	return s
}

// Number returns a field that is a number, 0 where it is not there.
func (ln *Line) Number(name string) float64 {
	n, _ := ln.Fields[name].(float64)
	return n
}

// Span returns a field that is a duration in nanoseconds.
func (ln *Line) Span(name string) time.Duration { return time.Duration(ln.Number(name)) }

// beliefs are the events that change what a daemon believes.
var beliefs = map[string]bool{
	"version-held": true, "version-refused": true, "version-unreadable": true, "platform-state": true,
	"backend-server": true, "server-leaves": true, "server-withdrawn": true, "backend-server-unreachable": true,
	"member-unheard": true, "failure-domain-reach": true, "daemon-start": true, "daemon-end": true, "stopping": true, "drain": true,
	logs.ServerCrashed: true, logs.PoisonFound: true, logs.PoisonCleared: true, logs.LeftOut: true,
}

// Log holds the lines that matter for one request.
type Log struct {
	id string
	// request are the lines that bear its id, or that of a call made for it.
	request []*Line
	beliefs []*Line
	Skipped
}

// Skipped counts lines that were passed over.
type Skipped struct {
	// Foreign are none of a daemon's, Broken begin as one and cannot be read, such
	// as the last one of a log that was cut.
	Foreign   int `json:"foreign-lines"`
	Malformed int `json:"broken-lines"`
}

// New returns a log without lines for the request with an id.
func New(id string) *Log { return &Log{id: id} }

// Read adds the lines of one log.
func (lo *Log) Read(r io.Reader) error { return Scan(r, &lo.Skipped, lo.add) }

// Scan hands the lines of one log to take, and counts those that are none of a daemon's.
// Text before the first brace of a line, which collectors put there, is passed over.
func Scan(r io.Reader, sk *Skipped, take func(*Line)) error {
	br := bufio.NewReader(r)
	for {
		raw, err := br.ReadBytes('\n')
		if ln := sk.parse(raw); ln != nil {
			take(ln)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the log: %w", err)
		}
	}
}

// parse returns a line, nil for one that is passed over.
func (sk *Skipped) parse(raw []byte) *Line {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return nil
	}
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		sk.Foreign++
		return nil
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		sk.Malformed++
		return nil
	}
	ln := &Line{Fields: fields}
	ln.VM, ln.Event = ln.Text("vm"), ln.Text("msg")
	at, err := time.Parse(time.RFC3339Nano, ln.Text("time"))
	if err != nil || ln.Event == "" {
		sk.Foreign++
		return nil
	}
	ln.Time = at
	for _, name := range []string{"time", "level", "msg", "vm"} {
		delete(fields, name)
	}
	return ln
}

func (lo *Log) add(ln *Line) {
	id := ln.Text(logs.ID)
	switch {
	case id != "" && (id == lo.id || strings.HasPrefix(id, lo.id+".")):
		lo.request = append(lo.request, ln)
	case beliefs[ln.Event]:
		lo.beliefs = append(lo.beliefs, ln)
	}
}

func sortLines(list []*Line) {
	slices.SortStableFunc(list, func(a, b *Line) int { return a.Time.Compare(b.Time) })
}
