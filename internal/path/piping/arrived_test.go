package piping

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// timedWrite is a text that a caller writes after a delay.
type timedWrite struct {
	delay time.Duration
	text  string
}

// TestArrivedOnKeptConnection guards against a request being given the arrival time of an earlier
// one on its keep-alive connection.
func TestArrivedOnKeptConnection(t *testing.T) {
	chunked := func(path string) string {
		return request("PUT", path, "3\r\nbod\r\n0\r\n\r\n", "Transfer-Encoding: chunked")
	}
	for _, tc := range []struct {
		name   string
		writes []timedWrite
		// maxAge is how long before its handler is called the request for /1/last may have
		// arrived.
		maxAge time.Duration
	}{
		{"after a request without a body", []timedWrite{{0, get("/10")}, {time.Minute, get("/1/last")}}, 0},
		{"after a body with Content-Length", []timedWrite{{0, request("PUT", "/10", "body!", "Content-Length: 5")}, {time.Minute, get("/1/last")}}, 0},
		{"after a chunked body", []timedWrite{{0, chunked("/10")}, {time.Minute, get("/1/last")}}, 0},
		{"after two chunked bodies", []timedWrite{{0, chunked("/10")}, {time.Minute, chunked("/20")}, {time.Minute, get("/1/last")}}, 0},
		{"chunked body after a chunked body", []timedWrite{{0, chunked("/10")}, {time.Minute, chunked("/1/last")}}, 0},
		{"while a request with a chunked body runs", []timedWrite{{0, chunked("/10")}, {time.Minute, chunked("/100")}, {50 * time.Millisecond, get("/1/last")}}, 60 * time.Millisecond},
		{"head in two parts", []timedWrite{{0, chunked("/10")}, {time.Minute, "GET /1/last HT"}, {time.Second, "TP/1.1\r\nHost: a\r\n\r\n"}}, time.Second},
		{"waited for an earlier response", []timedWrite{{0, get("/100") + request("POST", "/1/last", "")}}, 110 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t)
				nc := rg.dial()
				go func() { _, _ = io.Copy(io.Discard, nc) }()
				for _, tw := range tc.writes {
					time.Sleep(tw.delay)
					_, _ = io.WriteString(nc, tw.text)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if got := rg.ages["/1/last"]; got > tc.maxAge {
					t.Errorf("request is reported to be %v old, want at most %v", got, tc.maxAge)
				}
			})
		})
	}
}
