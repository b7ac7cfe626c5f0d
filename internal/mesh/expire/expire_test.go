package expire

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func vmNames(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("vm-", i))
	}
	return list
}

// runDetector runs a detector for the time span. heard reports which members are heard from at
// each check, and away how long the observer is suspended, or its clock jumps, before a check.
func runDetector(members int, span time.Duration, heard func(vm string, at time.Duration) bool, away func(at time.Duration) time.Duration) (gone, silent []string) {
	dt := New()
	start := time.Unix(1000, 0)
	vms := vmNames(members)
	for at := time.Duration(0); at < span; at += CheckInterval {
		if away != nil {
			at += away(at)
		}
		now := start.Add(at)
		dt.SetMembers(slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return slices.Contains(gone, vm) }), now)
		// Messages that arrive while the observer is suspended are read after the check.
		due := dt.Check(now)
		gone = append(gone, due.Gone...)
		silent = append(silent, due.Silent...)
		for _, vm := range vms {
			if heard(vm, at) {
				dt.Heard(vm, now)
			}
		}
	}
	return gone, silent
}

func TestCheck(t *testing.T) {
	dead := func(vms ...string) func(string, time.Duration) bool {
		return func(vm string, at time.Duration) bool { return at < 10*time.Second || !slices.Contains(vms, vm) }
	}
	for _, tc := range []struct {
		name         string
		members      int
		heard        func(string, time.Duration) bool
		away         func(time.Duration) time.Duration
		gone, silent []string
	}{
		{"all live", 5, dead(), nil, nil, nil},
		{"one dies", 5, dead("vm-1"), nil, []string{"vm-1"}, nil},
		{"two of nine die", 9, dead("vm-1", "vm-2"), nil, []string{"vm-1", "vm-2"}, nil},
		{"only other member dies", 1, dead("vm-0"), nil, []string{"vm-0"}, nil},
		// The observer is disconnected, not the members.
		{"most go silent at once", 5, dead("vm-0", "vm-1", "vm-2"), nil, nil, []string{"vm-0", "vm-1", "vm-2"}},
		{"all go silent at once", 9, dead(vmNames(9)...), nil, nil, vmNames(9)},
		// The observer is suspended while messages wait to be read.
		{"observer suspended", 5, dead(), func(at time.Duration) time.Duration {
			if at == 20*time.Second {
				return time.Minute
			}
			return 0
		}, nil, nil},
		{"clock jumps back", 5, dead(), func(at time.Duration) time.Duration {
			if at == 20*time.Second {
				return -15 * time.Second
			}
			return 0
		}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			jumped := false
			away := tc.away
			if away != nil {
				away = func(at time.Duration) time.Duration {
					if jumped {
						return 0
					}
					d := tc.away(at)
					jumped = jumped || d != 0
					return d
				}
			}
			gone, silent := runDetector(tc.members, 90*time.Second, tc.heard, away)
			if !slices.Equal(gone, tc.gone) || !slices.Equal(silent, tc.silent) {
				t.Errorf("gone %v, silent %v; want %v, %v", gone, silent, tc.gone, tc.silent)
			}
		})
	}
}

// TestHeardMembersStay checks that a member that is heard from at least every half of Timeout
// is never marked, whichever other members fail and whenever the observer is suspended.
func TestHeardMembersStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 8).Draw(t, "members")
		dies := rapid.SliceOfN(rapid.IntRange(0, 60), members, members).Draw(t, "dies")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 200, 200).Draw(t, "pauses")
		tick := 0
		alive := func(vm string, at time.Duration) bool {
			var i int
			_, _ = fmt.Sscanf(vm, "vm-%d", &i)
			return at < time.Duration(dies[i])*time.Second
		}
		gone, silent := runDetector(members, time.Minute, alive, func(time.Duration) time.Duration {
			tick++
			if pauses[tick%200] == 7 {
				return 20 * time.Second
			}
			return 0
		})
		for _, vm := range append(gone, silent...) {
			if alive(vm, 59*time.Second+CheckInterval) {
				t.Fatalf("%s is alive but was marked", vm)
			}
		}
	})
}
