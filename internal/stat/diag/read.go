package diag

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
	// Fields are the remaining fields of the JSON object.
	Fields map[string]any `json:"fields"`
}

// Text returns a string field, or "" if it is missing.
func (ln *Line) Text(name string) string {
	s, _ := ln.Fields[name].(string)
	return s
}

// Number returns a numeric field, or 0 if it is missing.
func (ln *Line) Number(name string) float64 {
	n, _ := ln.Fields[name].(float64)
	return n
}

// Duration returns a field that holds a duration in nanoseconds, or 0 if it is missing.
func (ln *Line) Duration(name string) time.Duration { return time.Duration(ln.Number(name)) }

// stateEvents are the events that report a change in a daemon's state, including what it knows
// of other daemons, backend servers and configuration versions.
var stateEvents = map[string]bool{
	"version-held": true, "version-refused": true, "version-unreadable": true, "platform-state": true,
	"backend-server": true, "server-leaves": true, "server-withdrawn": true, "backend-server-unreachable": true,
	"member-unheard": true, "failure-domain-reach": true, "daemon-start": true, "daemon-end": true, "stopping": true, "drain": true,
	logs.ServerCrashed: true, logs.PoisonFound: true, logs.PoisonCleared: true, logs.LinesDropped: true,
}

// Collector gathers the log lines that concern one request.
type Collector struct {
	id string
	// requestLines have the request's ID, or that of a call made on its behalf.
	requestLines []*Line
	stateLines   []*Line
	Skipped
}

// Skipped counts the lines that were skipped.
type Skipped struct {
	// Foreign counts lines that no daemon wrote. Malformed counts lines that contain a brace but
	// no valid JSON object after it, such as the last line of a truncated log.
	Foreign   int `json:"foreign-lines"`
	Malformed int `json:"broken-lines"`
}

// New returns an empty collector for the request with the given ID.
func New(id string) *Collector { return &Collector{id: id} }

// Read adds the lines of a log.
func (co *Collector) Read(r io.Reader) error { return Scan(r, &co.Skipped, co.add) }

// Scan calls handle for each line of a log and counts the lines that no daemon wrote. It ignores
// text before the first brace of a line, since log collectors prepend their own fields.
func Scan(r io.Reader, sk *Skipped, handle func(*Line)) error {
	br := bufio.NewReader(r)
	for {
		raw, err := br.ReadBytes('\n')
		if ln := sk.parse(raw); ln != nil {
			handle(ln)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the log: %w", err)
		}
	}
}

// parse decodes a line and returns nil if it is skipped.
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

func (co *Collector) add(ln *Line) {
	id := ln.Text(logs.ID)
	switch {
	case id != "" && (id == co.id || strings.HasPrefix(id, co.id+".")):
		co.requestLines = append(co.requestLines, ln)
	case stateEvents[ln.Event]:
		co.stateLines = append(co.stateLines, ln)
	}
}

func sortLines(list []*Line) {
	slices.SortStableFunc(list, func(a, b *Line) int { return a.Time.Compare(b.Time) })
}
