package gone

import (
	"errors"
	"net/http"
	"syscall"
	"testing"
)

// TestReset guards against a connection that is to be reset ending in order, also one whose socket is
// wrapped, and against closing a connection that HTTP/2 requests share.
func TestReset(t *testing.T) {
	for _, tc := range []struct {
		name  string
		major int
		reset bool
	}{{"HTTP/1", 1, true}, {"HTTP/2", 2, false}} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := connPair(t)
			r := (&http.Request{ProtoMajor: tc.major}).WithContext(ConnContext(t.Context(), wrapped{wrapped{near}}))
			if err := Reset(r); err != nil {
				t.Fatal(err)
			}
			if !tc.reset {
				if _, err := near.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			}
			_, err := far.Read(make([]byte, 1))
			if got := errors.Is(err, syscall.ECONNRESET); got != tc.reset || !got && err != nil {
				t.Errorf("read: %v, want a reset: %t", err, tc.reset)
			}
		})
	}
}
