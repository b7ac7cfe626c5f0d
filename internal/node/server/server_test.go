package server

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// step is one thing that a tracker hears, and what it must say afterwards.
type step struct {
	at       time.Duration
	do       string // announce, drain, withdraw, recall, lost or assume
	lifetime string
	number   uint64
	// want is the lifetime that serves or, with a "-", that leaves.
	want string
	// started is the time of the start, 0 where the server does not tell.
	started int64
}

const s = time.Second

// TestOrders plays announcements in the orders that a network and a killed
// daemon bring about.
func TestOrders(t *testing.T) {
	for name, steps := range map[string][]step{
		"an overtaken ready does not end a drain": {
			{0, "announce", "a", 1, "a", 0}, {s, "drain", "a", 3, "-a", 0}, {2 * s, "announce", "a", 2, "-a", 0},
		},
		"a ready with a higher number does not end a drain": {
			{0, "announce", "a", 1, "a", 0}, {s, "drain", "a", 2, "-a", 0}, {2 * s, "announce", "a", 3, "-a", 0},
		},
		// A user's request was sent to a server that had left: its daemon was
		// killed after the drain, and the first that the new one heard was an
		// announcement from before.
		"a late ready after the daemon was replaced": {
			{0, "recall", "a", 5, "", 0}, {s, "announce", "a", 4, "", 0}, {2 * s, "drain", "a", 6, "-a", 0},
		},
		"a ready of a lifetime that a forerunner saw leave": {
			{0, "recall", "a", 5, "", 0}, {s, "announce", "a", 6, "-a", 0},
		},
		"a removal holds against a late announcement": {
			{0, "announce", "a", 1, "a", 0}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "a", 9, "", 0},
		},
		"a removal that comes before the announcement": {
			{0, "withdraw", "a", 0, "", 0}, {s, "announce", "a", 9, "", 0},
		},
		"a new lifetime after a removal": {
			{0, "announce", "a", 1, "a", 0}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "b", 1, "b", 0},
		},
		"a new lifetime after a crash": {
			{0, "announce", "a", 7, "a", 0}, {s, "announce", "b", 1, "b", 0},
		},
		"an announcement of the crashed lifetime comes late": {
			{0, "announce", "a", 7, "a", 0}, {s, "announce", "b", 1, "b", 0}, {2 * s, "announce", "a", 8, "b", 0},
		},
		"one of a lifetime from before the daemon's time": {
			{0, "announce", "b", 1, "b", 0}, {s, "announce", "a", 8, "b", 0},
		},
		"a lifetime that was taken by mistake gives way when it is silent": {
			{0, "announce", "a", 8, "a", 0}, {5 * s, "announce", "b", 5, "b", 0},
		},
		"the present one goes on after an interval without news": {
			{0, "announce", "a", 8, "a", 0}, {5 * s, "announce", "a", 9, "a", 0}, {12 * s, "announce", "a", 10, "a", 0},
		},
		"silence ends it": {
			{0, "announce", "a", 1, "a", 0}, {7 * s, "recall", "", 0, "", 0},
		},
		"a lost one comes back with its next announcement": {
			{0, "announce", "a", 1, "a", 0}, {s, "lost", "", 0, "", 0}, {2 * s, "announce", "a", 2, "a", 0},
		},
		"found before it announces itself": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 7, "a", 0}, {2 * s, "announce", "a", 6, "a", 0}, {3 * s, "drain", "a", 8, "-a", 0},
		},
		"found, and its first announcement has the number 0": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 0, "a", 0}, {2 * s, "drain", "a", 1, "-a", 0},
		},
		// The daemon was replaced after it had acknowledged that the server leaves; the
		// server goes on for some seconds and may still say that it is well.
		"found, though it said that it leaves": {
			{0, "recall", "a", 5, "", 0}, {s, "assume", "a", 0, "", 0}, {2 * s, "drain", "a", 6, "-a", 0},
		},
		"found, though it was taken out": {
			{0, "withdraw", "a", 0, "", 0}, {s, "assume", "a", 0, "", 0},
		},
		"found after another has announced itself": {
			{0, "announce", "a", 3, "a", 0}, {s, "assume", "b", 0, "a", 0},
		},
		"a late announcement of a forerunner does not displace the one that was found": {
			{0, "assume", "b", 0, "b", 0}, {s, "announce", "a", 9, "b", 0}, {2 * s, "announce", "b", 4, "b", 0},
		},
		"a new one displaces the one that was found": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "b", 1, "b", 0},
		},
		"found, and never heard": {
			{0, "assume", "a", 0, "a", 0}, {7 * s, "recall", "", 0, "", 0},
		},
		// A server crashes and starts again under its name; its numbers start anew.
		"another start of the same lifetime": {
			{0, "announce", "a", 7, "a", 100}, {s, "announce", "a", 1, "a", 200}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"of another start the first announcements were lost": {
			{0, "announce", "a", 7, "a", 100}, {s, "announce", "a", 5, "a", 200},
		},
		"an announcement of the former start comes late": {
			{0, "announce", "a", 1, "a", 200}, {s, "drain", "a", 9, "a", 100}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"a former start that drained, and the next one": {
			{0, "drain", "a", 7, "-a", 100}, {s, "announce", "a", 1, "a", 200}, {2 * s, "announce", "a", 8, "a", 100},
		},
		"a former start that was taken out, and the next one": {
			{0, "announce", "a", 7, "a", 100}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"a removal of the former start comes late": {
			{0, "announce", "a", 1, "a", 200}, {s, "withdraw", "a", 0, "a", 100}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"a removal of a start that was not heard": {
			{0, "announce", "a", 4, "a", 100}, {s, "withdraw", "a", 0, "", 200}, {2 * s, "announce", "a", 5, "", 100},
		},
		"a removal that names no start, before any announcement": {
			{0, "withdraw", "a", 0, "", 0}, {s, "announce", "a", 9, "", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"a daemon was replaced after the former start drained": {
			{0, "recall", "a", 5, "", 100}, {s, "announce", "a", 4, "", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"the next start was heard before what the forerunner knew": {
			{0, "announce", "a", 1, "a", 200}, {s, "recall", "a", 5, "a", 100},
		},
		"a forerunner knew of a drain of the next start": {
			{0, "announce", "a", 9, "a", 100}, {s, "recall", "a", 2, "", 200}, {2 * s, "announce", "a", 10, "", 100}, {3 * s, "drain", "a", 3, "-a", 200},
		},
		"another start of a lifetime that drains": {
			{0, "announce", "a", 1, "a", 100}, {s, "drain", "a", 2, "-a", 100}, {2 * s, "drain", "a", 1, "-a", 200}, {3 * s, "announce", "a", 2, "-a", 200},
		},
		// The clock of the VM was set back between two starts.
		"a start that seems earlier is taken once the other is long silent": {
			{0, "announce", "a", 7, "a", 200}, {4 * s, "announce", "a", 3, "a", 100}, {11 * s, "announce", "a", 8, "a", 100}, {12 * s, "announce", "a", 9, "a", 100},
		},
		"an earlier start under another name does not displace the present one": {
			{0, "announce", "b", 4, "b", 200}, {s, "announce", "a", 1, "b", 100},
		},
		"a later start under another name displaces the present one": {
			{0, "announce", "a", 4, "a", 100}, {s, "announce", "b", 6, "b", 200},
		},
		"found before it announces itself, with its start": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 3, "a", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			start := time.Unix(1000, 0)
			for i, st := range steps {
				now := start.Add(st.at)
				an := admin.Announcement{Service: "x", Lifetime: st.lifetime, Number: st.number, StartedMs: st.started}
				switch st.do {
				case "announce":
					tr.Announce(an, now)
				case "drain":
					an.State = admin.StateDraining
					tr.Announce(an, now)
				case "withdraw":
					tr.Withdraw(admin.Withdrawal{Lifetime: st.lifetime, StartedMs: st.started}, now)
				case "recall":
					tr.Recall(member.Departure{Lifetime: st.lifetime, StartedMs: st.started, Number: st.number}, now)
				case "lost":
					tr.Lost(now)
				case "assume":
					tr.Assume(an, now)
				}
				got := tr.Status(now)
				text := got.Lifetime()
				if got.Leaving {
					text = "-" + text
				}
				if text != st.want {
					t.Errorf("step %d, %s %s %d: %q serves, want %q", i, st.do, st.lifetime, st.number, text, st.want)
				}
			}
		})
	}
}

// TestWithoutLifetimes: servers that name no lifetime are taken by their last
// word, and may come back after they withdrew.
func TestWithoutLifetimes(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	an := admin.Announcement{Service: "x"}
	tr.Announce(an, now)
	tr.Announce(an, now)
	if st := tr.Status(now); st.Announcement == nil || st.Leaving {
		t.Errorf("announced twice: %+v", st)
	}
	tr.Withdraw(admin.Withdrawal{}, now)
	if st := tr.Status(now); st.Announcement != nil {
		t.Errorf("withdrawn: %+v", st)
	}
	tr.Announce(an, now)
	if st := tr.Status(now); st.Announcement == nil || st.Leaving {
		t.Errorf("announced again: %+v", st)
	}
}

// TestForgetsTheOldest: a VM on which servers are replaced all day keeps a
// bounded number of lifetimes.
func TestForgetsTheOldest(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for i := range 10 * keepLives {
		now = now.Add(time.Second)
		tr.Announce(admin.Announcement{Service: "x", Lifetime: time.Duration(i).String(), Number: 1}, now)
	}
	if len(tr.lives) > keepLives {
		t.Errorf("%d lifetimes are kept, bound %d", len(tr.lives), keepLives)
	}
	if st := tr.Status(now); st.Lifetime() != time.Duration(10*keepLives-1).String() {
		t.Errorf("the newest lifetime is %q", st.Lifetime())
	}
}

// TestStatusStays: the daemon's controllers go by a status while the next
// announcement comes on another connection. What they hold must not change under
// them; the race detector found that it did.
func TestStatusStays(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	tr.Announce(admin.Announcement{Service: "x", Lifetime: "a", Number: 1, Slots: 3}, now)
	st := tr.Status(now)
	tr.Announce(admin.Announcement{Service: "x", Lifetime: "a", Number: 2, Slots: 9}, now)
	if st.Announcement.Slots != 3 {
		t.Errorf("a status that was handed out has changed to %d slots", st.Announcement.Slots)
	}
}
