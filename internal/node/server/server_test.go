package server

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// step is an event at a tracker, and the expected state after it.
type step struct {
	at       time.Duration
	action   string // announce, drain, withdraw, recall, lost or assume
	lifetime string
	number   uint64
	// want is the lifetime that serves or, with a "-", that is leaving.
	want string
	// started is the start time, 0 if the server does not report it.
	started int64
}

const s = time.Second

// TestAnnouncementOrders plays events in the orders that networks, crashes and replaced daemons
// bring about.
func TestAnnouncementOrders(t *testing.T) {
	for name, steps := range map[string][]step{
		"an overtaken serving announcement does not end a drain": {
			{0, "announce", "a", 1, "a", 0}, {s, "drain", "a", 3, "-a", 0}, {2 * s, "announce", "a", 2, "-a", 0},
		},
		"a serving announcement with a higher number does not end a drain": {
			{0, "announce", "a", 1, "a", 0}, {s, "drain", "a", 2, "-a", 0}, {2 * s, "announce", "a", 3, "-a", 0},
		},
		// No request may be sent to a server that has left: its daemon is killed after the drain, and
		// the first announcement that the next daemon receives is from before the drain.
		"a late serving announcement after the daemon was replaced": {
			{0, "recall", "a", 5, "", 0}, {s, "announce", "a", 4, "", 0}, {2 * s, "drain", "a", 6, "-a", 0},
		},
		"a serving announcement of a lifetime that the predecessor saw leave": {
			{0, "recall", "a", 5, "", 0}, {s, "announce", "a", 6, "-a", 0},
		},
		"a withdrawal outlasts a late announcement": {
			{0, "announce", "a", 1, "a", 0}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "a", 9, "", 0},
		},
		"a withdrawal that arrives before the announcement": {
			{0, "withdraw", "a", 0, "", 0}, {s, "announce", "a", 9, "", 0},
		},
		"a new lifetime after a withdrawal": {
			{0, "announce", "a", 1, "a", 0}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "b", 1, "b", 0},
		},
		"a new lifetime after a crash": {
			{0, "announce", "a", 7, "a", 0}, {s, "announce", "b", 1, "b", 0},
		},
		"an announcement of the crashed lifetime arrives late": {
			{0, "announce", "a", 7, "a", 0}, {s, "announce", "b", 1, "b", 0}, {2 * s, "announce", "a", 8, "b", 0},
		},
		"an announcement of a lifetime from before the daemon started": {
			{0, "announce", "b", 1, "b", 0}, {s, "announce", "a", 8, "b", 0},
		},
		"a lifetime that was accepted by mistake is displaced once silent": {
			{0, "announce", "a", 8, "a", 0}, {5 * s, "announce", "b", 5, "b", 0},
		},
		"the current one continues after an interval without announcements": {
			{0, "announce", "a", 8, "a", 0}, {5 * s, "announce", "a", 9, "a", 0}, {12 * s, "announce", "a", 10, "a", 0},
		},
		"the announcement expires": {
			{0, "announce", "a", 1, "a", 0}, {7 * s, "recall", "", 0, "", 0},
		},
		"an unreachable one returns with its next announcement": {
			{0, "announce", "a", 1, "a", 0}, {s, "lost", "", 0, "", 0}, {2 * s, "announce", "a", 2, "a", 0},
		},
		"probed before it announces itself": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 7, "a", 0}, {2 * s, "announce", "a", 6, "a", 0}, {3 * s, "drain", "a", 8, "-a", 0},
		},
		"probed, and its first announcement has the number 0": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 0, "a", 0}, {2 * s, "drain", "a", 1, "-a", 0},
		},
		// The daemon was replaced after it had acknowledged that the server is leaving; the server
		// runs on for some seconds and may still report that it is healthy.
		"probed, though it announced that it is leaving": {
			{0, "recall", "a", 5, "", 0}, {s, "assume", "a", 0, "", 0}, {2 * s, "drain", "a", 6, "-a", 0},
		},
		"probed, though it was withdrawn": {
			{0, "withdraw", "a", 0, "", 0}, {s, "assume", "a", 0, "", 0},
		},
		"probed after another has announced itself": {
			{0, "announce", "a", 3, "a", 0}, {s, "assume", "b", 0, "a", 0},
		},
		"a late announcement of a former instance does not displace the probed one": {
			{0, "assume", "b", 0, "b", 0}, {s, "announce", "a", 9, "b", 0}, {2 * s, "announce", "b", 4, "b", 0},
		},
		"a new one displaces the probed one": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "b", 1, "b", 0},
		},
		"probed, and never announced": {
			{0, "assume", "a", 0, "a", 0}, {7 * s, "recall", "", 0, "", 0},
		},
		// A server crashes and restarts under the same lifetime; its numbers start anew.
		"another instance of the same lifetime": {
			{0, "announce", "a", 7, "a", 100}, {s, "announce", "a", 1, "a", 200}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"the first announcements of another instance were lost": {
			{0, "announce", "a", 7, "a", 100}, {s, "announce", "a", 5, "a", 200},
		},
		"an announcement of the former instance arrives late": {
			{0, "announce", "a", 1, "a", 200}, {s, "drain", "a", 9, "a", 100}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"a former instance that drained, and the next one": {
			{0, "drain", "a", 7, "-a", 100}, {s, "announce", "a", 1, "a", 200}, {2 * s, "announce", "a", 8, "a", 100},
		},
		"a former instance that was withdrawn, and the next one": {
			{0, "announce", "a", 7, "a", 100}, {s, "withdraw", "a", 0, "", 0}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"a withdrawal of the former instance arrives late": {
			{0, "announce", "a", 1, "a", 200}, {s, "withdraw", "a", 0, "a", 100}, {2 * s, "announce", "a", 2, "a", 200},
		},
		"a withdrawal of an instance that was not heard of": {
			{0, "announce", "a", 4, "a", 100}, {s, "withdraw", "a", 0, "", 200}, {2 * s, "announce", "a", 5, "", 100},
		},
		"a withdrawal without a start time, before any announcement": {
			{0, "withdraw", "a", 0, "", 0}, {s, "announce", "a", 9, "", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"a daemon was replaced after the former instance drained": {
			{0, "recall", "a", 5, "", 100}, {s, "announce", "a", 4, "", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
		"the next instance was heard of before the predecessor's departure": {
			{0, "announce", "a", 1, "a", 200}, {s, "recall", "a", 5, "a", 100},
		},
		"the predecessor knew of a drain of the next instance": {
			{0, "announce", "a", 9, "a", 100}, {s, "recall", "a", 2, "", 200}, {2 * s, "announce", "a", 10, "", 100}, {3 * s, "drain", "a", 3, "-a", 200},
		},
		"another instance of a lifetime that drains": {
			{0, "announce", "a", 1, "a", 100}, {s, "drain", "a", 2, "-a", 100}, {2 * s, "drain", "a", 1, "-a", 200}, {3 * s, "announce", "a", 2, "-a", 200},
		},
		// The clock of the VM was set back between two starts.
		"an instance that seems earlier is accepted once the other is long silent": {
			{0, "announce", "a", 7, "a", 200}, {4 * s, "announce", "a", 3, "a", 100}, {11 * s, "announce", "a", 8, "a", 100}, {12 * s, "announce", "a", 9, "a", 100},
		},
		"an earlier instance of another lifetime does not displace the current one": {
			{0, "announce", "b", 4, "b", 200}, {s, "announce", "a", 1, "b", 100},
		},
		"a later instance of another lifetime displaces the current one": {
			{0, "announce", "a", 4, "a", 100}, {s, "announce", "b", 6, "b", 200},
		},
		"probed before it announces itself with its start time": {
			{0, "assume", "a", 0, "a", 0}, {s, "announce", "a", 3, "a", 100}, {2 * s, "announce", "a", 1, "a", 200},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			start := time.Unix(1000, 0)
			for i, st := range steps {
				now := start.Add(st.at)
				an := admin.Announcement{Service: "x", Lifetime: st.lifetime, Number: st.number, StartedMs: st.started}
				switch st.action {
				case "announce":
					tr.Announce(an, now)
				case "drain":
					an.State = admin.StateDraining
					tr.Announce(an, now)
				case "withdraw":
					tr.Withdraw(admin.Withdrawal{Lifetime: st.lifetime, StartedMs: st.started}, now)
				case "recall":
					tr.RecoverDeparture(member.Departure{Lifetime: st.lifetime, StartedMs: st.started, Number: st.number}, now)
				case "lost":
					tr.MarkUnreachable(now)
				case "assume":
					tr.Assume(an, now)
				}
				got := tr.Status(now)
				text := got.Lifetime()
				if got.Leaving {
					text = "-" + text
				}
				if text != st.want {
					t.Errorf("step %d, %s %s %d: %q serves, want %q", i, st.action, st.lifetime, st.number, text, st.want)
				}
			}
		})
	}
}

// TestWithoutLifetimes checks servers that report no lifetime: the last announcement counts, and
// they may return after a withdrawal.
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

// TestInstanceLimit checks that the number of remembered instances is bounded on a VM whose servers
// are replaced often.
func TestInstanceLimit(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for i := range 10 * maxInstances {
		now = now.Add(time.Second)
		tr.Announce(admin.Announcement{Service: "x", Lifetime: time.Duration(i).String(), Number: 1}, now)
	}
	if len(tr.instances) > maxInstances {
		t.Errorf("%d instances are remembered, limit %d", len(tr.instances), maxInstances)
	}
	if st := tr.Status(now); st.Lifetime() != time.Duration(10*maxInstances-1).String() {
		t.Errorf("the newest lifetime is %q", st.Lifetime())
	}
}

// TestStatusIsCopy guards against a status that changes while the daemon uses it and the next
// announcement arrives on another connection. The race detector reports it.
func TestStatusIsCopy(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	tr.Announce(admin.Announcement{Service: "x", Lifetime: "a", Number: 1, Slots: 3}, now)
	st := tr.Status(now)
	tr.Announce(admin.Announcement{Service: "x", Lifetime: "a", Number: 2, Slots: 9}, now)
	if st.Announcement.Slots != 3 {
		t.Errorf("a returned status has changed to %d slots", st.Announcement.Slots)
	}
}

// TestLeavingWithoutLifetime guards against a server that gives no lifetime being taken for the one
// before it, which was leaving, for good.
func TestLeavingWithoutLifetime(t *testing.T) {
	var tr Tracker
	now := time.Now()
	an := admin.Announcement{Service: "booking", TTLMs: 8000}
	tr.Announce(an, now)
	tr.MarkLeaving(member.Departure{}, now)
	tr.Announce(an, now.Add(7*s))
	if st := tr.Status(now.Add(7 * s)); !st.Leaving {
		t.Error("an announcement ended the departure")
	}
	tr.Announce(an, now.Add(16*s))
	if st := tr.Status(now.Add(16 * s)); st.Announcement == nil || st.Leaving {
		t.Error("the next server gets no requests")
	}
}
