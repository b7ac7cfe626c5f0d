package acct

import (
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
	"github.com/flamingomast/flamingomast/internal/stat/trail"
)

// held has, for each service and VM, when its slots were held.
type held map[string]map[string]*server

// server is when the slots of one backend server were held.
type server struct {
	spans []span
	// slots is how many it has, as its inlet says when it refuses a request; 0 where it
	// refused none, and then nobody was refused beside it.
	slots int
}

type span struct{ from, until time.Time }

// slotsOf reads from answered requests when slots were held: until the answer came, for
// as long as its inlet says. The slots of each VM are those that it tells in refusals.
func slotsOf(requests []*trail.Line, slots map[string]int) held {
	all := held{}
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
		se.spans = append(se.spans, span{ln.Time.Add(-ln.Span(logs.ServiceTime)), ln.Time})
	}
	for _, servers := range all {
		for _, se := range servers {
			slices.SortFunc(se.spans, func(a, b span) int { return a.from.Compare(b.from) })
		}
	}
	return all
}

// longest bounds for how long a slot is held, so that not all spans are looked at.
const longest = 5 * time.Second

// at returns how many slots were held at a moment.
func (se *server) at(now time.Time) int {
	first, _ := slices.BinarySearchFunc(se.spans, now.Add(-longest), func(sp span, at time.Time) int { return sp.from.Compare(at) })
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

// onTheWay is how many requests of a server are taken to be on their way to or from it,
// with a slot that looks free.
const onTheWay = 1

// free reports whether a server of a service that answered in the seconds around a moment
// had a free slot then.
func (he held) free(service string, now time.Time) bool {
	for _, se := range he[service] {
		if se.serves(now) && se.at(now)+onTheWay < se.slots {
			return true
		}
	}
	return false
}

// serves reports whether a request began within a second before a moment and one within a
// second after it: a server that is gone has no free slot.
func (se *server) serves(now time.Time) bool {
	i, _ := slices.BinarySearchFunc(se.spans, now, func(sp span, at time.Time) int { return sp.from.Compare(at) })
	return i > 0 && now.Sub(se.spans[i-1].from) < time.Second && i < len(se.spans) && se.spans[i].from.Sub(now) < time.Second
}
