package inlet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/path/ident"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// The question whether a backend server has ended.
const (
	// askTime bounds it. A server that ended refuses a connection at once; one that is
	// silent may be paused, and has not ended.
	askTime = 100 * time.Millisecond
	// askAgain is for how long a server that takes connections is not asked again,
	// though more of its answers break off.
	askAgain = 100 * time.Millisecond
	// namelessFor is for how long the end of a server that does not name its lifetime
	// is remembered: the next one looks like it.
	namelessFor = time.Second
)

// What the server was running though its outlet has given up on it.
const (
	// leftFor is for how long the server may go on with it, maxLeft how many are kept.
	leftFor = time.Second
	maxLeft = 64
)

// ends knows whether the backend server has ended, and what it may be running beside
// the requests that wait for an answer.
type ends struct {
	mu sync.Mutex
	// of is the target that was asked last, ended what came out, at when.
	of    Target
	ended bool
	at    time.Time
	end   poison.End
	left  []left
}

// left is a request that its outlet gave up on.
type left struct {
	mark mark
	of   Target
	at   time.Time
}

// mark names a request in reports.
type mark struct {
	head uint64
	key  ident.Key
}

// has tells whether the server of a target has ended, and names that end; ask is called
// where it is not known. Requests that broke off together wait for one answer.
func (en *ends) has(tg *Target, ask func() bool) (end poison.End, ended, first bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	if en.of == *tg {
		known := now.Sub(en.at) < askAgain
		if en.ended {
			known = tg.Lifetime != "" || now.Sub(en.at) < namelessFor
		}
		if known {
			return en.end, en.ended, false
		}
	}
	en.of, en.ended, en.at = *tg, ask(), now
	if en.ended {
		en.end = nameEnd(tg)
	}
	return en.end, en.ended, en.ended
}

// nameEnd names the end of a target's lifetime.
func nameEnd(tg *Target) poison.End {
	if tg.Lifetime == "" {
		return poison.End(rand.Uint64())
	}
	return poison.End(xxhash.Sum64String(tg.VM + "\x00" + tg.Lifetime + "\x00" + strconv.FormatInt(tg.StartedMs, 10)))
}

// forget drops what was found out, as a server has announced itself since: one that
// refused a connection for a moment has not ended.
func (en *ends) forget() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.of, en.ended = Target{}, false
}

// leave notes a request that its outlet gave up on while the server was running it.
func (en *ends) leave(mk mark, tg *Target) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.left = append(en.left, left{mark: mk, of: *tg, at: time.Now()})
	if len(en.left) > maxLeft {
		en.left = en.left[1:]
	}
}

// takeLeft returns the requests that the server may have been running beside those that
// waited for an answer when it ended.
func (en *ends) takeLeft(tg *Target) (list []mark) {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, le := range en.left {
		if le.of == *tg && time.Since(le.at) < leftFor {
			list = append(list, le.mark)
		}
	}
	en.left = nil
	return list
}

// noteEnd finds out whether a request failed because its backend server ended, and
// reports what that server was running.
//
// All that a server runs breaks off when it ends, and so does what a server that lives
// breaks off by itself; only the former takes no connection afterwards. One that said it
// leaves has not ended under what it was running.
func (in *Inlet) noteEnd(r *http.Request, lead *ident.Lead, tg *Target, rf *result.Refusal) {
	gaveUp := rf.Reason == result.ReasonCallerGone || rf.Reason == result.ReasonDeadline
	switch {
	case rf.Outcome == result.MayHaveRun && gaveUp:
		if mk, ok := markOf(r, lead); ok {
			in.ends.leave(mk, tg)
		}
		return
	case rf.Outcome == result.MayHaveRun && rf.Reason != result.ReasonBroken, rf.Outcome == result.NotRun && rf.Reason != result.ReasonConnect:
		return
	}
	end, ended, first := in.ends.has(tg, func() bool { return in.refusesAll(tg) })
	if !ended {
		return
	}
	var marks []mark
	if first {
		in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.ServerEnded,
			slog.String(logs.Lifetime, tg.Lifetime), slog.Int("running", in.Gate.Load().Running))
		in.Unreachable(*tg)
		marks = in.ends.takeLeft(tg)
	}
	if rf.Outcome == result.MayHaveRun {
		rf.Reason = result.ReasonServerEnded
		if mk, ok := markOf(r, lead); ok {
			in.Log.LogAttrs(context.Background(), slog.LevelWarn, logs.EndedUnder, slog.String(logs.ID, in.id(r)),
				slog.String(logs.Key, mk.key.String()), slog.String(logs.Lifetime, tg.Lifetime))
			marks = append(marks, mk)
		}
	}
	if in.Gate.Draining() {
		return
	}
	in.report(marks, end)
	rf.Ends = in.endsOf(r, lead)
}

// report tells that a server ended while it ran the requests marked.
func (in *Inlet) report(marks []mark, end poison.End) {
	if len(marks) == 0 {
		return
	}
	var list []poison.Report
	for _, mk := range marks {
		list = append(list, poison.Report{Head: mk.head, Key: mk.key, End: end, At: time.Now()})
	}
	in.Report(list)
}

// markOf returns what names a request in reports. It tells whether enough of its body
// was read for that.
func markOf(r *http.Request, lead *ident.Lead) (mk mark, ok bool) {
	body, whole := lead.Bytes(r.ContentLength)
	if !whole {
		return mark{}, false
	}
	return mark{head: ident.Head(r), key: ident.Of(r, body)}, true
}

// endsOf returns how many servers ended under a request, as far as is known.
func (in *Inlet) endsOf(r *http.Request, lead *ident.Lead) int {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return 0
	}
	mk, ok := markOf(r, lead)
	if !ok {
		return 0
	}
	return vw.Ends(mk.key)
}

// noteAnswer takes from a request what is known of servers that ended while they ran it:
// its backend server answered it whole.
func (in *Inlet) noteAnswer(r *http.Request, lead *ident.Lead) {
	vw := in.Poison()
	if !vw.Suspects(r) {
		return
	}
	if mk, ok := markOf(r, lead); ok {
		if list := vw.Answered(mk.key); len(list) > 0 {
			in.Report(list)
		}
	}
}

// refusesAll tells whether the backend server of a target refuses a connection.
func (in *Inlet) refusesAll(tg *Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	return !in.fw.Load().Reach(ctx, tg.Addr) && ctx.Err() == nil
}

// apart takes the one place for requests under which servers ended before: if the server
// ends as well while it runs only one of them, it is known which was the cause. Callers
// of the others are told to come back, or other servers take them.
func (in *Inlet) apart(r *http.Request) (leave func(), rf *result.Refusal) {
	known, err := strconv.Atoi(r.Header.Get(result.EndsHeader))
	if err != nil || known < poison.Apart {
		// None are known, or an older release sends none.
		return func() {}, nil
	}
	if !in.suspect.CompareAndSwap(false, true) {
		return nil, &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonApart}
	}
	return func() { in.suspect.Store(false) }, nil
}
