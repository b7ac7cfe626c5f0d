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

// Duration returns a field that is a duration in nanoseconds.
func (ln *Line) Duration(name string) time.Duration { return time.Duration(ln.Number(name)) }

// stateEvents are the events that change what a daemon believes.
var stateEvents = map[string]bool{
	"version-held": true, "version-refused": true, "version-unreadable": true, "platform-state": true,
	"backend-server": true, "server-leaves": true, "server-withdrawn": true, "backend-server-unreachable": true,
	"member-unheard": true, "failure-domain-reach": true, "daemon-start": true, "daemon-end": true, "stopping": true, "drain": true,
	logs.ServerEnded: true, logs.PoisonFound: true, logs.PoisonCleared: true, logs.LinesDropped: true,
}

// Collector holds the lines that matter for one request.
type Collector struct {
	id string
	// requestLines are the lines that bear its id, or that of a call made for it.
	requestLines []*Line
	stateLines   []*Line
	Passed
}

// Passed counts lines that were passed over.
type Passed struct {
	// Foreign are none of a daemon's, Broken begin as one and cannot be read, such
	// as the last one of a log that was cut.
	Foreign int `json:"foreign-lines"`
	Broken  int `json:"broken-lines"`
}

// New returns a log without lines for the request with an id.
func New(id string) *Collector { return &Collector{id: id} }

// Read adds the lines of one log.
func (co *Collector) Read(r io.Reader) error { return Scan(r, &co.Passed, co.add) }

// Scan hands the lines of one log to take, and counts those that are none of a daemon's.
// Text before the first brace of a line, which collectors put there, is passed over.
func Scan(r io.Reader, pa *Passed, handle func(*Line)) error {
	br := bufio.NewReader(r)
	for {
		raw, err := br.ReadBytes('\n')
		if ln := pa.parse(raw); ln != nil {
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

// parse returns a line, nil for one that is passed over.
func (pa *Passed) parse(raw []byte) *Line {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return nil
	}
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		pa.Foreign++
		return nil
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		pa.Broken++
		return nil
	}
	ln := &Line{Fields: fields}
	ln.VM, ln.Event = ln.Text("vm"), ln.Text("msg")
	at, err := time.Parse(time.RFC3339Nano, ln.Text("time"))
	if err != nil || ln.Event == "" {
		pa.Foreign++
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
