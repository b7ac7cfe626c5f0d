package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with times in seconds since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	seen  []entry
}

type entry struct {
	at     time.Time
	kind   string
	fields map[string]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (rc *record) add(kind string, fields ...any) {
	rc.addAt(time.Now(), kind, fields...)
}

func (rc *record) addAt(now time.Time, kind string, fields ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	en := entry{now, kind, map[string]string{}}
	var sb strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		name, value := fmt.Sprint(fields[i]), fmt.Sprint(fields[i+1])
		en.fields[name] = value
		fmt.Fprintf(&sb, " %s=%q", name, value)
	}
	rc.seen = append(rc.seen, en)
	fmt.Fprintf(rc.out, "%8.3f %s%s\n", now.Sub(rc.start).Seconds(), kind, sb.String())
}

func (rc *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	rc.add("note", "text", text)
}

func (rc *record) entries(kind string) (list []entry) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, en := range rc.seen {
		if en.kind == kind {
			list = append(list, en)
		}
	}
	return list
}

func (rc *record) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_ = rc.out.Flush()
	_ = rc.file.Close()
}
