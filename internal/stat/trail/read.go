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

// text returns a field that is a text, empty where it is not there.
func (ln *Line) text(name string) string {
	s, _ := ln.Fields[name].(string)
	return s
}

// number returns a field that is a number, 0 where it is not there.
func (ln *Line) number(name string) float64 {
	n, _ := ln.Fields[name].(float64)
	return n
}

// span returns a field that is a duration in nanoseconds.
func (ln *Line) span(name string) time.Duration { return time.Duration(ln.number(name)) }

// beliefs are the events that change what a daemon believes.
var beliefs = map[string]bool{
	"version-held": true, "version-refused": true, "version-unreadable": true, "platform-state": true,
	"backend-server": true, "server-leaves": true, "server-withdrawn": true, "backend-server-unreachable": true,
	"member-unheard": true, "failure-domain-reach": true, "daemon-start": true, "daemon-end": true, "stopping": true, "drain": true,
	logs.LeftOut: true,
}

// Log holds the lines that matter for one request.
type Log struct {
	id string
	// request are the lines that bear its id, or that of a call made for it.
	request []*Line
	beliefs []*Line
	// Foreign counts lines that are none of a daemon's, Broken those that begin
	// as one and cannot be read, such as the last one of a log that was cut.
	Foreign, Broken int
}

// New returns a log without lines for the request with an id.
func New(id string) *Log { return &Log{id: id} }

// Read adds the lines of one log. Text before the first brace of a line, which
// collectors put there, is passed over.
func (lo *Log) Read(r io.Reader) error {
	br := bufio.NewReader(r)
	for {
		raw, err := br.ReadBytes('\n')
		lo.add(raw)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the log: %w", err)
		}
	}
}

func (lo *Log) add(raw []byte) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return
	}
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		lo.Foreign++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		lo.Broken++
		return
	}
	ln := &Line{Fields: fields}
	ln.VM, ln.Event = ln.text("vm"), ln.text("msg")
	at, err := time.Parse(time.RFC3339Nano, ln.text("time"))
	if err != nil || ln.Event == "" {
		lo.Foreign++
		return
	}
	ln.Time = at
	for _, name := range []string{"time", "level", "msg", "vm"} {
		delete(fields, name)
	}
	id := ln.text(logs.ID)
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
