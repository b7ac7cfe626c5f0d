package ctrl

import (
	"strings"
	"testing"
)

// TestReadEntry: something other than a daemon has written keys under the directory's prefix. A
// daemon that accepted their values as addresses would wait for responses that never come, and
// start without the peers that exist.
func TestReadEntry(t *testing.T) {
	for _, tc := range []struct{ key, value, domain, addr string }{
		{"relays/north/vm-1", "10.0.0.1:7600", "north", "10.0.0.1:7600"},
		{"relays/north/vm-1/x", "10.0.0.1:7600", "north", "10.0.0.1:7600"},
		{"relays/north/vm-1", "", "", ""},
		{"relays/north/vm-1", ":7600", "", ""},
		{"relays/north/vm-1", "10.0.0.1:0", "", ""},
		{"relays/north/vm-1", "10.0.0.1", "", ""},
		{"relays/north/vm-1", "10.0.0.1:99999", "", ""},
		{"relays/north/vm-1", "\xff\x00", "", ""},
		{"relays/north/vm-1", strings.Repeat("9", 1<<20), "", ""},
		{"relays/north/", "10.0.0.1:7600", "", ""},
		{"relays//vm-1", "10.0.0.1:7600", "", ""},
		{"relays/", "10.0.0.1:7600", "", ""},
	} {
		domain, addr, err := readEntry(tc.key, []byte(tc.value))
		if domain != tc.domain || addr != tc.addr || (err == nil) != (tc.addr != "") {
			t.Errorf("key %q, value %.20q: domain %q, address %q, error %v", tc.key, tc.value, domain, addr, err)
		}
	}
}

// FuzzReadEntry: an entry that is accepted names a failure domain and an address.
func FuzzReadEntry(f *testing.F) {
	f.Add("relays/north/vm-1", []byte("10.0.0.1:7600"))
	f.Add("relays/", []byte("\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if domain, addr, err := readEntry(key, value); err == nil && (domain == "" || !strings.Contains(addr, ":")) {
			t.Errorf("key %q, value %q: accepted as domain %q, address %q", key, value, domain, addr)
		}
	})
}
