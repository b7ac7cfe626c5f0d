package ctrl

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/sample"
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

// TestRestartOfAllReadsSoon guards against daemons that restart together waiting for each other to read
// the configuration: those registered in the store are linked to before they have looked there.
func TestRestartOfAllReadsSoon(t *testing.T) {
	for _, sz := range []size{{9, 3, 2}, {68, 3, 3}} {
		for _, pause := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(sz.vms, " ", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, sample.Mesh(sz.vms, sz.domains, sz.services))
					fl.linearizable = true
					defer fl.stopAll()
					fl.apply(fl.ms, 0)
					fl.startAll()
					fl.waitHeld(1, 20*time.Second)
					time.Sleep(settleTime)
					var all []string
					for name := range fl.nodes {
						all = append(all, name)
					}
					fl.kill(all...)
					time.Sleep(pause)
					calls := fl.st.Calls.Total()
					fl.startAll()
					took := fl.waitHeld(1, 20*time.Second)
					t.Logf("held by all after %s, %d calls to the store", took, fl.st.Calls.Total()-calls)
					if want := startJitter + 400*time.Millisecond; took > want {
						t.Errorf("held by all after %s, want at most %s", took, want)
					}
				})
			})
		}
	}
}
