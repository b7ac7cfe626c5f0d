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

// TestKey: a request that comes again is known by what it asks for, whatever names its
// caller's try, and no other one is taken for it.
func TestKey(t *testing.T) {
	long := strings.Repeat("x", ident.MaxPrefixBytes)
	base := func() *http.Request { return httptest.NewRequest("POST", "http://booking/visits/7?day=2", nil) }
	for _, tc := range []struct {
		name   string
		change func(*http.Request)
		body   string
		same   bool
	}{
		{"another try", func(r *http.Request) { r.Header.Set("X-Request-Id", "2") }, "body", true},
		{"another time left", func(r *http.Request) { r.Header.Set("Flamingomast-Timeout-Ms", "90") }, "body", true},
		{"another body", nil, "bodi", false},
		{"a longer body", nil, "body2", false},
		{"no body", nil, "", false},
		{"another method", func(r *http.Request) { r.Method = "PUT" }, "body", false},
		{"another host", func(r *http.Request) { r.Host = "portal" }, "body", false},
		{"another query", func(r *http.Request) { r.URL.RawQuery = "day=3" }, "body", false},
		{"another caller", func(r *http.Request) { r.Header.Set("Authorization", "Bearer b") }, "body", false},
		{"a field's end moved", func(r *http.Request) { r.Host, r.URL.Path = "booking/", "visits/7" }, "body", false},
	} {
		r := base()
		if tc.change != nil {
			tc.change(r)
		}
		if got := ident.KeyOf(r, []byte(tc.body)) == ident.KeyOf(base(), []byte("body")); got != tc.same {
			t.Errorf("%s: same %t, want %t", tc.name, got, tc.same)
		}
		if tc.same && ident.HeaderHash(r) != ident.HeaderHash(base()) {
			t.Errorf("%s: the same key with two heads", tc.name)
		}
	}
	if ident.KeyOf(base(), []byte(long+"a")) != ident.KeyOf(base(), []byte(long+"b")) {
		t.Error("what is beyond the lead counts")
	}
}

// TestLead: a body that streams gives the same lead whatever the pieces in which it
// comes, and none before enough of it has come.
func TestLead(t *testing.T) {
	for _, tc := range []struct {
		name         string
		size, length int64
		read         int64
		kept         int
		whole        bool
	}{
		{"whole", 100, 100, 100, 100, true},
		{"a part", 100, 100, 99, 99, false},
		{"none", 0, 0, 0, 0, true},
		{"no length, not at its end", 100, -1, 100, 100, false},
		{"no length, at its end", 100, -1, 101, 100, true},
		{"long", 3 * ident.MaxPrefixBytes, -1, 2 * ident.MaxPrefixBytes, ident.MaxPrefixBytes, true},
	} {
		le := ident.NewLead(io.NopCloser(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", int(tc.size))))))
		if _, err := io.CopyN(io.Discard, le, tc.read); err != nil && tc.read <= tc.size {
			t.Fatal(err)
		}
		lead, whole := le.Bytes(tc.length)
		if len(lead) != tc.kept || whole != tc.whole {
			t.Errorf("%s: %d bytes, whole %t; want %d, %t", tc.name, len(lead), whole, tc.kept, tc.whole)
		}
	}
}

// BenchmarkOf is the price of a key, which is paid only while some request is under
// suspicion and has the same head.
func BenchmarkOf(b *testing.B) {
	r := httptest.NewRequest("POST", "http://booking/visits/7?day=2", nil)
	body := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		ident.KeyOf(r, body)
	}
}
