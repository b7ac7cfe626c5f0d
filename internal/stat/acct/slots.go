package acct

import (
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/diag"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// slotUse records, by service and VM, when the slots of the backend server were in use.
type slotUse map[string]map[string]*server

// server records when the slots of one backend server were in use.
type server struct {
	spans []span
	// slots is the number of slots that the inlet reports when it refuses a request. It is 0 if
	// the inlet refused none, and the server then counts as having no free slot.
	slots int
}

type span struct{ from, until time.Time }

// slotUseOf derives the use of slots from answered requests: a slot was in use until the response
// arrived, for the service time that the inlet reported. slots holds the number of slots by VM.
func slotUseOf(requests []*diag.Line, slots map[string]int) slotUse {
	all := slotUse{}
	for _, ln := range requests {
		if ln.Text(logs.Outcome) != result.Answered.String() {
			continue
		}
		service, vm := ln.Text("service"), ln.Text(logs.TargetVM)
		if all[service] == nil {
			all[service] = map[string]*server{}
		}
		if all[service][vm] == nil {
			all[service][vm] = &server{slots: slots[vm]}
		}
		se := all[service][vm]
		se.spans = append(se.spans, span{ln.Time.Add(-ln.Duration(logs.ServiceTime)), ln.Time})
	}
	for _, servers := range all {
		for _, se := range servers {
			slices.SortFunc(se.spans, func(a, b span) int { return a.from.Compare(b.from) })
		}
	}
	return all
}

// maxServiceTime is the longest time that a slot is assumed to be in use. It bounds the spans to
// search.
const maxServiceTime = 5 * time.Second

// inUseAt returns how many slots were in use at a given time.
func (se *server) inUseAt(now time.Time) int {
	first, _ := slices.BinarySearchFunc(se.spans, now.Add(-maxServiceTime), func(sp span, at time.Time) int { return sp.from.Compare(at) })
	n := 0
	for _, sp := range se.spans[first:] {
		if sp.from.After(now) {
			break
		}
		if sp.until.After(now) {
			n++
		}
	}
	return n
}

// inTransit is the number of requests assumed to be in transit to or from a server, so that their
// slots look free.
const inTransit = 1

// hasFree reports whether an active server of a service had a free slot at a given time.
func (su slotUse) hasFree(service string, now time.Time) bool {
	for _, se := range su[service] {
		if se.active(now) && se.inUseAt(now)+inTransit < se.slots {
			return true
		}
	}
	return false
}

// active reports whether a request began within a second before the given time and another within
// a second after it. A server that has stopped has no free slots.
func (se *server) active(now time.Time) bool {
	i, _ := slices.BinarySearchFunc(se.spans, now, func(sp span, at time.Time) int { return sp.from.Compare(at) })
	return i > 0 && now.Sub(se.spans[i-1].from) < time.Second && i < len(se.spans) && se.spans[i].from.Sub(now) < time.Second
}
