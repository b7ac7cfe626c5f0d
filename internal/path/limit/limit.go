package limit

import (
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

// Limiter admits requests. Its methods may be called from any goroutine.
type Limiter struct {
	mu       sync.Mutex
	slots    int
	running  int
	waiting  int
	draining bool
	classes  map[string]*class
	order    []*class
	// service is the weighted mean time for which a slot is held, kinds the same for
	// each kind of request.
	service mean
	kinds   kinds
	worth   worths
	// doing counts the requests that run by priority, without calls.
	doing [result.Ranks - 1]int
	// repeats is how many of those that run are repeats.
	repeats float64
	idle    chan struct{}
}

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
	// Kind names requests that hold a slot for a similar time.
	Kind string
	// Priority ranks it among those of its class that wait: 0 goes first.
	Priority int
	// Objective is what is left of the time within which an answer has its full
	// worth; 0 where none is declared.
	Objective time.Duration
	// Final says that its caller cannot come back after a refusal.
	Final bool
	// Repeat is how likely it has been sent to a backend server before, 0 to 1.
	Repeat float64
}

// Activity is what a backend server is doing.
type Activity struct {
	// Running is how many requests run.
	Running int
	// Priority is the one that most of them have.
	Priority int
	// Repeats is the part of them that are repeats, 0 to 1.
	Repeats float64
}

// New returns a gate without slots; Configure gives it some.
func New() *Limiter {
	return &Limiter{classes: map[string]*class{}, kinds: kinds{}}
}

// Configure sets the slots and classes. Requests that run or wait stay as they
// are; a class that is no longer declared goes on without a share.
func (ga *Limiter) Configure(slots int, classes []Class) {
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
func (ga *Limiter) class(name string) *class {
	cl := ga.classes[name]
	if cl == nil {
		cl = &class{Class: Class{Name: name}}
		ga.classes[name] = cl
		ga.order = append(ga.order, cl)
	}
	return cl
}

// Slot is a slot that a request holds.
type Slot struct {
	ga    *Limiter
	cl    *class
	rq    Request
	since time.Time
	left  bool
}

// Acquire waits for a slot. It returns a ticket, or the refusal of a request
// that has certainly not run. A request that could not be served before its
// deadline is refused at once, not when the deadline comes.
func (ga *Limiter) Acquire(ctx context.Context, rq Request) (*Slot, *result.Refusal) {
	ga.mu.Lock()
	if ga.draining {
		ga.mu.Unlock()
		return nil, refuse(result.ReasonDraining, 0)
	}
	cl := ga.class(rq.Class)
	if ga.mayRun(cl) {
		tk := ga.admit(cl, rq)
		ga.mu.Unlock()
		return tk, nil
	}
	wt := newWaiter(rq, ga.expected(rq.Kind), time.Now())
	wt.rank = ga.worth.rank(&rq, wt.service)
	at := cl.place(wt)
	if rf := ga.hopeless(ctx, cl, wt, at); rf != nil {
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

// expected returns for how long a request of a kind is expected to hold a slot;
// ga.mu is held.
func (ga *Limiter) expected(kind string) time.Duration {
	if d := ga.kinds.value(kind); d > 0 {
		return d
	}
	return ga.service.value
}

func refuse(re result.Reason, after time.Duration) *result.Refusal {
	return &result.Refusal{Outcome: result.NotRun, Reason: re, RetryAfter: after}
}

// mayRun reports whether a request of the class gets a slot now. A class below
// its own share goes first; above it, a class takes what is idle as long as
// nobody waits for it. ga.mu is held.
func (ga *Limiter) mayRun(cl *class) bool {
	if ga.running >= ga.slots {
		return false
	}
	return cl.running < cl.own || ga.waiting == 0
}

func (ga *Limiter) admit(cl *class, rq Request) *Slot {
	ga.running++
	cl.running++
	ga.count(&rq, 1)
	return &Slot{ga: ga, cl: cl, rq: rq, since: time.Now()}
}

// count counts a request that runs, or with n below zero one that has ended; ga.mu is
// held.
func (ga *Limiter) count(rq *Request, n int) {
	ga.repeats += float64(n) * rq.Repeat
	if !rq.Final {
		ga.doing[step(rq.Priority)] += n
	}
}

// hopeless refuses a request whose turn would come too late if it waited at a place
// of its class's queue; ga.mu is held.
func (ga *Limiter) hopeless(ctx context.Context, cl *class, wt *waiter, at int) *result.Refusal {
	wait := ga.expectedWait(cl, wt, at)
	last := at >= len(cl.queue)
	if last && len(cl.queue) >= cl.Queue || wait > wt.patient() {
		return refuse(result.ReasonSlotsFull, wait)
	}
	if left, ok := ctx.Deadline(); ok && time.Until(left) < wait+wt.service {
		return refuse(result.ReasonDeadlineTooNear, wait)
	}
	return nil
}

// expectedWait estimates when a slot would come to a request at a place of its
// class's queue, from the time for which those before it will hold theirs; ga.mu is
// held.
func (ga *Limiter) expectedWait(cl *class, wt *waiter, at int) time.Duration {
	slots, sum := ga.slots, ga.service.value+cl.before(wt, at)
	if cl.own > 0 {
		// Its own slots serve its own queue first.
		slots = cl.own
	} else {
		sum += ga.service.value * time.Duration(ga.waiting-len(cl.queue))
	}
	if slots <= 0 {
		return time.Second
	}
	return sum / time.Duration(slots)
}

func (ga *Limiter) wait(ctx context.Context, cl *class, wt *waiter) (*Slot, *result.Refusal) {
	patient, late := wt.giveUp(), false
	if left := wt.untilTooLate(ctx); left < patient {
		patient, late = left, true
	}
	tm := time.NewTimer(patient)
	defer tm.Stop()
	select {
	case <-wt.ready:
	case <-ctx.Done():
	case <-tm.C:
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if wt.granted {
		// Granted and given up at the same moment counts as granted; the
		// caller sees its ended context next and leaves the slot.
		return &Slot{ga: ga, cl: cl, rq: wt.Request, since: time.Now()}, nil
	}
	after := ga.expectedWait(cl, wt, len(cl.queue))
	if !wt.gone {
		wt.gone = true
		ga.waiting--
		cl.remove(wt)
	}
	switch {
	case ga.draining:
		return nil, refuse(result.ReasonDraining, 0)
	case ctx.Err() != nil:
		return nil, refuse(result.ReasonDeadlinePassed, after)
	case late:
		return nil, refuse(result.ReasonDeadlineTooNear, after)
	}
	return nil, refuse(result.ReasonSlotsFull, after)
}

// displace refuses the last of a full queue for one that goes before it, as long as
// there is one that is not the only one of its priority. Without
// that, calls of backend servers were refused behind a queue of less urgent
// requests, and the work of their callers was lost. ga.mu is held.
func (ga *Limiter) displace(cl *class) {
	victim := cl.victim()
	cl.remove(victim)
	ga.waiting--
	victim.gone = true
	close(victim.ready)
}

// AcquiredAt returns when the slot was given.
func (tk *Slot) AcquiredAt() time.Time { return tk.since }

// Release gives the slot back; it does so once. It is not safe for concurrent use.
func (tk *Slot) Release() {
	if tk.left {
		return
	}
	tk.left = true
	ga := tk.ga
	held := time.Since(tk.since)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.service.add(held)
	ga.kinds.add(tk.rq.Kind, held)
	ga.worth.add(&tk.rq, held)
	ga.count(&tk.rq, -1)
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
func (ga *Limiter) handOver() {
	for ga.running < ga.slots && ga.waiting > 0 {
		cl := ga.nextClass()
		if cl == nil {
			return
		}
		wt := cl.next(time.Now())
		cl.remove(wt)
		ga.waiting--
		wt.granted, wt.gone = true, true
		ga.running++
		cl.running++
		ga.count(&wt.Request, 1)
		close(wt.ready)
	}
}

func (ga *Limiter) nextClass() *class {
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
func (ga *Limiter) Drain() (running int, idle <-chan struct{}) {
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

// Resume admits requests again after a Drain, for another backend server.
func (ga *Limiter) Resume() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.draining = false
}

// Draining reports whether all new requests are refused.
func (ga *Limiter) Draining() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.draining
}

// Activity returns what the backend server is doing.
func (ga *Limiter) Activity() Activity {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	wk := Activity{Running: ga.running}
	for pr, count := range ga.doing {
		if count >= ga.doing[wk.Priority] {
			wk.Priority = pr
		}
	}
	if ga.running > 0 {
		wk.Repeats = min(1, max(0, ga.repeats/float64(ga.running)))
	}
	return wk
}

// Load returns how many requests run and wait, the slots, and what waits are to be
// expected.
func (ga *Limiter) Load() result.Load {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ld := result.Load{Running: ga.running, Waiting: ga.waiting, Slots: ga.slots, ServiceTime: ga.service.value.Truncate(time.Millisecond)}
	if ga.running < ga.slots || ga.slots <= 0 {
		return ld
	}
	now := time.Now()
	for i := range ld.Waits {
		ld.Waits[i] = ga.service.value
	}
	for _, cl := range ga.order {
		cl.addWaits(&ld.Waits, ga.worth.final, now)
	}
	for i := range ld.Waits {
		ld.Waits[i] = (ld.Waits[i] / time.Duration(ga.slots)).Truncate(time.Millisecond)
	}
	return ld
}
