package apikey

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

const testKey = "28m82thhkmgjqnirth5m"

func TestFromHeader(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		key        string
		present    bool
	}{
		{"none", "", "", false},
		{"usual", "Authorization: Token " + testKey, testKey, true},
		{"scheme in another case", "authorization: tOKEN " + testKey, testKey, true},
		{"several spaces", "Authorization:   Token   " + testKey + "  ", testKey, true},
		{"folded", "Authorization: Token\r\n  " + testKey, testKey, true},
		{"two headers", "Authorization: Token " + testKey + "\r\nAuthorization: Token " + testKey, "", true},
		{"two keys", "Authorization: Token a b", "", true},
		{"list", "Authorization: Token a,b", "", true},
		{"another scheme", "Authorization: Bearer " + testKey, "", true},
		{"key without a scheme", "Authorization: " + testKey, "", true},
		{"scheme without a key", "Authorization: Token", "", true},
		{"empty", "Authorization:", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			key, present := FromHeader(header(t, tc.head))
			if key != tc.key || present != tc.present {
				t.Errorf("key %q, present %t, want %q, %t", key, present, tc.key, tc.present)
			}
		})
	}
}

// header parses a head the way the outlet's server does.
func header(tb testing.TB, head string) http.Header {
	tb.Helper()
	if head != "" {
		head += "\r\n"
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n")))
	if err != nil {
		tb.Fatal(err)
	}
	return r.Header
}

// FuzzFromHeader: a key must consist of what follows the scheme in the only Authorization header,
// whatever the head looks like.
func FuzzFromHeader(f *testing.F) {
	for _, head := range []string{"Authorization: Token " + testKey, "Authorization: Token\r\n\t" + testKey, "Authorization: Token a\r\nauthorization: Token b"} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, head string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n\r\n")))
		if err != nil {
			return
		}
		key, present := FromHeader(r.Header)
		values := r.Header["Authorization"]
		if present != (len(values) > 0) {
			t.Fatalf("present %t with %d headers", present, len(values))
		}
		if key == "" {
			return
		}
		fields := strings.Fields(values[0])
		if len(values) != 1 || len(fields) != 2 || fields[1] != key || !strings.EqualFold(fields[0], "Token") {
			t.Fatalf("key %q from %q", key, values)
		}
	})
}

func BenchmarkFromHeader(b *testing.B) {
	hdr := http.Header{"Authorization": {"Token " + testKey}}
	b.ReportAllocs()
	for b.Loop() {
		FromHeader(hdr)
	}
}
