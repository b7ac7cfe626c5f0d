package limit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// Class is a kind of request with a share of the slots.
type Class struct {
	Name string
	// Share is the percentage of the slots that is always its own.
	Share int
	// Queue is how many of its requests may wait.
	Queue int
}

// Gate admits requests. Its methods may be called from any goroutine.
type Gate struct {
	mu       sync.Mutex
	slots    int
	running  int
	waiting  int
	draining bool
	classes  map[string]*class
	order    []*class
	// service is the weighted mean time for which a slot is held.
	service  time.Duration
	measured int
	idle     chan struct{}
}

// serviceWeight is how many requests make the mean time of a slot.
const serviceWeight = 16

type class struct {
	Class
	own     int // slots that are always its own
	running int
	queue   []*waiter
	// grants counts the slots that were handed to those who wait.
	grants int
}

// Request is what the gate goes by.
type Request struct {
	// Class names the class whose slots it takes.
	Class string
	// Priority ranks it among those of its class that wait: 0 goes first.
	Priority int
	// Objective is what is left of the time within which an answer has its full
	// worth; 0 where none is declared.
	Objective time.Duration
	// Returned says that the caller came back after a refusal.
	Returned bool
}

// The patience of requests: the part of the time that is left to a request
// before it must begin, within which its turn must be expected to come. What is
// refused at once can still be served in time elsewhere or a little later; what
// waits and is then too late has cost its caller the time and the server a slot.
// More urgent ones may wait longer, since those that come after them and are
// less urgent wait behind them. TestPatience shows how many wait by it.
const (
	patience = 0.6
	// latePatience is for requests whose objective has passed: they wait only
	// where hardly anybody does.
	latePatience = 50 * time.Millisecond
)

// patient returns how long the request may be expected to wait; a favoured one
// waits as long as the most urgent.
//
// One that came back is favoured. It has less of its objective left than a new one
// of its kind: were it refused sooner than those, its caller would be turned away
// twice while others get in at once.
func (rq Request) patient(service time.Duration, favoured bool) time.Duration {
	part := time.Duration(1 + rq.Priority)
	if favoured {
		part = 1
	}
	slack := rq.Objective - service
	return max(latePatience, time.Duration(patience*float64(slack))) / part
}

type waiter struct {
	Request
	// due is when it must begin so that its answer comes within the objective.
	due     time.Time
	since   time.Time
	ready   chan struct{}
	granted bool
	gone    bool
}

// New returns a gate without slots; Configure gives it some.
func New() *Gate {
	return &Gate{classes: map[string]*class{}}
}

// Configure sets the slots and classes. Requests that run or wait stay as they
// are; a class that is no longer declared goes on without a share.
func (ga *Gate) Configure(slots int, classes []Class) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.slots = slots
	for _, cl := range ga.order {
		cl.Share, cl.own, cl.Queue = 0, 0, 0
	}
	for _, cf := range classes {
		cl := ga.class(cf.Name)
		cl.Class = cf
		cl.own = slots * cf.Share / 100
		if cf.Share > 0 {
			cl.own = max(1, cl.own)
		}
	}
	ga.handOver()
}

// class returns the class of a name and makes it if need be; ga.mu is held.
func (ga *Gate) class(name string) *class {
	cl := ga.classes[name]
	if cl == nil {
		cl = &class{Class: Class{Name: name}}
		ga.classes[name] = cl
		ga.order = append(ga.order, cl)
	}
	return cl
}

// Ticket is a slot that a request holds.
type Ticket struct {
	ga    *Gate
	cl    *class
	since time.Time
	left  bool
}

// Enter waits for a slot. It returns a ticket, or the refusal of a request
// that has certainly not run. A request that could not be served before its
// deadline is refused at once, not when the deadline comes.
func (ga *Gate) Enter(ctx context.Context, rq Request) (*Ticket, *result.Refusal) {
	ga.mu.Lock()
	if ga.draining {
		ga.mu.Unlock()
		return nil, refuse(result.ReasonDraining, 0)
	}
	cl := ga.class(rq.Class)
	if ga.mayRun(cl) {
		tk := ga.admit(cl)
		ga.mu.Unlock()
		return tk, nil
	}
	now := time.Now()
	wt := &waiter{Request: rq, since: now, due: now.Add(rq.Objective), ready: make(chan struct{})}
	at := cl.place(wt)
	if rf := ga.hopeless(ctx, cl, rq, at); rf != nil {
		ga.mu.Unlock()
		return nil, rf
	}
	if len(cl.queue) >= cl.Queue {
		ga.displace(cl)
	}
	cl.queue = slices.Insert(cl.queue, at, wt)
	ga.waiting++
	ga.mu.Unlock()
	return ga.wait(ctx, cl, wt)
}

// place returns where a request stands among those of its class that wait: by
// priority, then by when it must begin. A request that came back after a refusal
// has less time left, so it goes before the new ones of its kind.
func (cl *class) place(wt *waiter) int {
	at, _ := slices.BinarySearchFunc(cl.queue, wt, func(a, b *waiter) int {
		// Those that are equal keep the order in which they came.
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.due.Compare(b.due), -1)
	})
	return at
}

func refuse(re result.Reason, after time.Duration) *result.Refusal {
	return &result.Refusal{Outcome: result.NotRun, Reason: re, RetryAfter: after}
}

// mayRun tells whether a request of the class gets a slot now. A class below
// its own share goes first; above it, a class takes what is idle as long as
// nobody waits for it. ga.mu is held.
func (ga *Gate) mayRun(cl *class) bool {
	if ga.running >= ga.slots {
		return false
	}
	return cl.running < cl.own || ga.waiting == 0
}

func (ga *Gate) admit(cl *class) *Ticket {
	ga.running++
	cl.running++
	return &Ticket{ga: ga, cl: cl, since: time.Now()}
}

// hopeless refuses a request that would not be served in time if it waited
// behind ahead others of its class; ga.mu is held.
func (ga *Gate) hopeless(ctx context.Context, cl *class, rq Request, ahead int) *result.Refusal {
	wait := ga.expectedWait(cl, ahead)
	last := ahead >= len(cl.queue)
	// One of each priority may wait as long as the most urgent, or nobody less
	// urgent would ever be there when slots become free.
	favoured := rq.Returned || cl.alone(rq.Priority)
	if last && len(cl.queue) >= cl.Queue || rq.Objective != 0 && wait > rq.patient(ga.service, favoured) {
		return refuse(result.ReasonFull, wait)
	}
	if at, ok := ctx.Deadline(); ok && time.Until(at) < wait+ga.service {
		return refuse(result.ReasonTooLate, wait)
	}
	return nil
}

// expectedWait estimates when a slot would come to a request behind so many of
// its class, from the rate at which slots really become free. ga.mu is held.
func (ga *Gate) expectedWait(cl *class, ahead int) time.Duration {
	slots := ga.slots
	if cl.own > 0 {
		// Its own slots serve its own queue first.
		slots = cl.own
	} else {
		ahead += ga.waiting - len(cl.queue)
	}
	if slots <= 0 {
		return time.Second
	}
	return ga.service * time.Duration(ahead+1) / time.Duration(slots)
}

func (ga *Gate) wait(ctx context.Context, cl *class, wt *waiter) (*Ticket, *result.Refusal) {
	select {
	case <-wt.ready:
	case <-ctx.Done():
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if wt.granted {
		// Granted and given up at the same moment counts as granted; the
		// caller sees its ended context next and leaves the slot.
		return &Ticket{ga: ga, cl: cl, since: time.Now()}, nil
	}
	if !wt.gone {
		wt.gone = true
		ga.waiting--
		cl.remove(wt)
	}
	switch {
	case ga.draining:
		return nil, refuse(result.ReasonDraining, 0)
	case ctx.Err() == nil:
		return nil, refuse(result.ReasonFull, ga.expectedWait(cl, len(cl.queue)))
	}
	return nil, refuse(result.ReasonDeadline, ga.expectedWait(cl, len(cl.queue)))
}

// displace refuses the last of a full queue for one that goes before it, as long as
// there is one that is not the only one of its priority. Without
// that, calls of backend servers were refused behind a queue of less urgent
// requests, and the work of their callers was lost. ga.mu is held.
func (ga *Gate) displace(cl *class) {
	victim := cl.queue[len(cl.queue)-1]
	for _, wt := range slices.Backward(cl.queue) {
		if !cl.single(wt) {
			victim = wt
			break
		}
	}
	cl.remove(victim)
	ga.waiting--
	victim.gone = true
	close(victim.ready)
}

func (cl *class) remove(wt *waiter) {
	for i, w := range cl.queue {
		if w == wt {
			cl.queue = append(cl.queue[:i], cl.queue[i+1:]...)
			return
		}
	}
}

// Since returns when the slot was given.
func (tk *Ticket) Since() time.Time { return tk.since }

// Leave gives the slot back; it does so once. It is not safe for concurrent use.
func (tk *Ticket) Leave() {
	if tk.left {
		return
	}
	tk.left = true
	ga := tk.ga
	held := time.Since(tk.since)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	// The first ones count by their number, or one odd first would stand for
	// long.
	ga.measured = min(ga.measured+1, serviceWeight)
	ga.service += (held - ga.service) / time.Duration(ga.measured)
	ga.running--
	tk.cl.running--
	ga.handOver()
	if ga.running == 0 && ga.idle != nil {
		close(ga.idle)
		ga.idle = nil
	}
}

// handOver gives free slots to those who wait: classes below their own share
// first, the one farthest below leading, then the others by their use.
// ga.mu is held.
func (ga *Gate) handOver() {
	for ga.running < ga.slots && ga.waiting > 0 {
		cl := ga.nextClass()
		if cl == nil {
			return
		}
		wt := cl.next()
		cl.remove(wt)
		ga.waiting--
		wt.granted, wt.gone = true, true
		ga.running++
		cl.running++
		close(wt.ready)
	}
}

// oldestEvery is how many slots go to the first in the queue before one goes to
// the one that has waited longest. Without it, documents got nothing at servers
// that urgent lookups and calls keep busy: 10 in 100 of what was owed to them on a
// day of high load.
const oldestEvery = 16

// next returns the waiter that gets the next slot.
func (cl *class) next() *waiter {
	cl.grants++
	wt := cl.queue[0]
	if cl.grants%oldestEvery == 0 {
		for _, one := range cl.queue[1:] {
			if one.since.Before(wt.since) {
				wt = one
			}
		}
	}
	return wt
}

// alone tells whether no other request of the same priority waits.
func (cl *class) alone(priority int) bool {
	return !slices.ContainsFunc(cl.queue, func(wt *waiter) bool { return wt.Priority == priority })
}

// single tells whether a waiter is the only one of its priority.
func (cl *class) single(wt *waiter) bool {
	return !slices.ContainsFunc(cl.queue, func(one *waiter) bool { return one != wt && one.Priority == wt.Priority })
}

func (ga *Gate) nextClass() *class {
	var best *class
	for _, cl := range ga.order {
		if len(cl.queue) == 0 {
			continue
		}
		if best == nil || cl.use() < best.use() {
			best = cl
		}
	}
	return best
}

// use is the part of its own slots that a class uses; above 1 it borrows.
func (cl *class) use() float64 {
	if cl.own == 0 {
		return 1 + float64(cl.running)
	}
	return float64(cl.running) / float64(cl.own)
}

// Drain refuses all new requests from now on and those that wait. It returns
// how many run and a channel that is closed once none does.
func (ga *Gate) Drain() (running int, idle <-chan struct{}) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.draining = true
	for _, cl := range ga.order {
		for _, wt := range cl.queue {
			wt.gone = true
			close(wt.ready)
		}
		ga.waiting -= len(cl.queue)
		cl.queue = nil
	}
	if ga.idle == nil {
		ga.idle = make(chan struct{})
	}
	ch := ga.idle
	if ga.running == 0 {
		close(ga.idle)
		ga.idle = nil
	}
	return ga.running, ch
}

// Open admits requests again after a Drain, for another backend server.
func (ga *Gate) Open() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.draining = false
}

// Load returns how many requests run and wait, and the slots.
func (ga *Gate) Load() result.Load {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return result.Load{Running: ga.running, Waiting: ga.waiting, Slots: ga.slots, Service: ga.service.Truncate(time.Millisecond)}
}
