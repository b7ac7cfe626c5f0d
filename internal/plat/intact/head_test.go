package intact

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// scanned reads what a head scanner passes on of p.
func scanned(p []byte) (passed []byte, hs *headScanner, er *Error) {
	hs = &headScanner{}
	n, er := hs.scan(p)
	return p[:n], hs, er
}

func TestHead(t *testing.T) {
	for _, tc := range []struct {
		head string
		// passed is how many bytes are passed on, -1 for all.
		passed int
		err    string
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", -1, ""},
		{"HTTP/1.1 200 OK\r\n\r\nX Y: z\r\n\x00", -1, ""},
		{"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nX Y", -1, ""},
		{"HTTP/1.1 2", -1, ""},
		{"", -1, ""},
		{"HTTP/1.1 000 X\r\n\r\n", 15, "the status 000 is out of range"},
		{"HTTP/1.1 101 X\r\n\r\n", 15, "switches protocols"},
		{"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", 18, `the name of a field, which begins with "a", holds ' '`},
		{"HTTP/1.1 200 OK\r\n: c\r\n\r\n", 17, `begins with "", holds ':'`},
		{"HTTP/1.1 200 OK\r\n A: c\r\n\r\n", 17, "the first field line begins with a blank"},
		{"HTTP/1.1 200 OK\r\nA\r\n\r\n", 18, `holds '\r'`},
		{"HTTP/1.1 200 OK\r\nA: b\rc\r\n", 22, `a carriage return is followed by 'c'`},
		{"HTTP/1.1 200 OK\r\nA: b\x00", 21, `a line of the head holds '\x00'`},
		{"HTTP/1.0 200 OK\r\nTRANSFER-encoding: x", 34, "Transfer-Encoding in a response of HTTP/1.0"},
		{"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 099 X\r\n", 37, "the status 099 is out of range"},
	} {
		passed, _, er := scanned([]byte(tc.head))
		want := tc.passed
		if want < 0 {
			want = len(tc.head)
		}
		if got := fmt.Sprint(er); len(passed) != want || (tc.err == "") != (er == nil) || er != nil && !strings.Contains(got, tc.err) {
			t.Errorf("%q: %d bytes passed, %v; want %d, %q", tc.head, len(passed), er, want, tc.err)
		}
	}
}

// TestHeadBounded guards against reading a head, or interim responses, without end.
func TestHeadBounded(t *testing.T) {
	for _, tc := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"name", "HTTP/1.1 200 OK\r\n", "x"},
		{"value", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"folded lines", "HTTP/1.1 200 OK\r\nA:", " b\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	} {
		passed, _, er := scanned([]byte(tc.start + strings.Repeat(tc.repeated, MaxHead)))
		if len(passed) != MaxHead || er == nil {
			t.Errorf("%s: %d bytes passed, %v; want %d and an error", tc.name, len(passed), er, MaxHead)
		}
	}
}

// BenchmarkHead measures the check of a common head.
func BenchmarkHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1200\r\nDate: Mon, 07 Dec 2026 03:10:55 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Load: 3,0,9\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var hs headScanner
		if _, er := hs.scan(head); er != nil {
			b.Fatal(er)
		}
	}
}

// FuzzHead checks that the verdict on a head does not depend on how it arrives, and that what the HTTP
// library reads of a head that passes has a valid status and valid names.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n", "HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 103\r\nA:\r\n b\r\n\r\nHTTP/1.1 204\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		passed, whole, er := scanned(p)
		single, n := &headScanner{}, 0
		var ser *Error
		for n < len(p) && ser == nil {
			var k int
			k, ser = single.scan(p[n : n+1])
			n += k
		}
		if n != len(passed) || fmt.Sprint(ser) != fmt.Sprint(er) || single.part != whole.part {
			t.Fatalf("%d bytes and %v at once, %d and %v byte by byte", len(passed), er, n, ser)
		}
		rd := io.MultiReader(bytes.NewReader(passed))
		if er != nil {
			rd = io.MultiReader(bytes.NewReader(passed), iotest.ErrReader(er))
		}
		br := bufio.NewReader(rd)
		for {
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			if res.StatusCode < 100 || res.StatusCode == http.StatusSwitchingProtocols || res.ProtoMajor != 1 {
				t.Fatalf("status %d, %s", res.StatusCode, res.Proto)
			}
			for name := range res.Header {
				if strings.Trim(name, "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" || name == "" {
					t.Fatalf("name %q", name)
				}
			}
			if res.StatusCode >= http.StatusOK {
				if whole.part != beyond || er != nil {
					t.Fatalf("the library accepts a head that is refused: %v", er)
				}
				return
			}
		}
	})
}
