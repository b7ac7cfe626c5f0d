package ident_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// TestKey checks that a retried request has the same key, whatever identifies the attempt, and
// that other requests have different keys.
func TestKey(t *testing.T) {
	long := strings.Repeat("x", ident.MaxPrefixBytes)
	base := func() *http.Request { return httptest.NewRequest("POST", "http://booking/visits/7?day=2", nil) }
	for _, tc := range []struct {
		name   string
		change func(*http.Request)
		body   string
		same   bool
	}{
		{"another attempt", func(r *http.Request) { r.Header.Set("X-Request-Id", "2") }, "body", true},
		{"another timeout", func(r *http.Request) { r.Header.Set("Flamingomast-Timeout-Ms", "90") }, "body", true},
		{"another body", nil, "bodi", false},
		{"a longer body", nil, "body2", false},
		{"no body", nil, "", false},
		{"another method", func(r *http.Request) { r.Method = "PUT" }, "body", false},
		{"another host", func(r *http.Request) { r.Host = "portal" }, "body", false},
		{"another query", func(r *http.Request) { r.URL.RawQuery = "day=3" }, "body", false},
		{"another caller", func(r *http.Request) { r.Header.Set("Authorization", "Bearer b") }, "body", false},
		{"moved field boundary", func(r *http.Request) { r.Host, r.URL.Path = "booking/", "visits/7" }, "body", false},
	} {
		r := base()
		if tc.change != nil {
			tc.change(r)
		}
		if got := ident.KeyOf(r, []byte(tc.body)) == ident.KeyOf(base(), []byte("body")); got != tc.same {
			t.Errorf("%s: same %t, want %t", tc.name, got, tc.same)
		}
		if tc.same && ident.HeaderHash(r) != ident.HeaderHash(base()) {
			t.Errorf("%s: same key, but different header hashes", tc.name)
		}
	}
	if ident.KeyOf(base(), []byte(long+"a")) != ident.KeyOf(base(), []byte(long+"b")) {
		t.Error("bytes beyond the prefix change the key")
	}
}

// TestPrefixReader checks that a streamed body yields the same prefix however it is split into
// reads, and that the prefix is incomplete until enough has been read.
func TestPrefixReader(t *testing.T) {
	for _, tc := range []struct {
		name         string
		size, length int64
		read         int64
		prefix       int
		complete     bool
	}{
		{"whole", 100, 100, 100, 100, true},
		{"part of the body", 100, 100, 99, 99, false},
		{"none", 0, 0, 0, 0, true},
		{"no length, before EOF", 100, -1, 100, 100, false},
		{"no length, at EOF", 100, -1, 101, 100, true},
		{"long", 3 * ident.MaxPrefixBytes, -1, 2 * ident.MaxPrefixBytes, ident.MaxPrefixBytes, true},
	} {
		pr := ident.NewPrefixReader(io.NopCloser(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", int(tc.size))))))
		if _, err := io.CopyN(io.Discard, pr, tc.read); err != nil && tc.read <= tc.size {
			t.Fatal(err)
		}
		prefix, complete := pr.Prefix(tc.length)
		if len(prefix) != tc.prefix || complete != tc.complete {
			t.Errorf("%s: %d bytes, complete %t; want %d, %t", tc.name, len(prefix), complete, tc.prefix, tc.complete)
		}
	}
}

// BenchmarkKeyOf measures the cost of a key, which is computed only while some request with the
// same HeaderHash is suspect.
func BenchmarkKeyOf(b *testing.B) {
	r := httptest.NewRequest("POST", "http://booking/visits/7?day=2", nil)
	body := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		ident.KeyOf(r, body)
	}
}
