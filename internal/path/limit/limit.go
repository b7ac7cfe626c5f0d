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

// Gate admits requests. Its methods may be called from any goroutine.
type Gate struct {
	mu       sync.Mutex
	slots    int
	running  int
	waiting  int
	draining bool
	classes  map[string]*class
	order    []*class
	// serviceTime is the weighted mean time for which a slot is held, kinds the same for
	// each kind of request.
	service       movingAverage
	serviceByKind serviceTimes
	ranker        ranker
	// runningByPriority counts the requests that run by priority, without calls.
	runningByPriority [result.Ranks - 1]int
	// repeats is how many of those that run are repeats.
	repeats float64
	idle    chan struct{}
}

type class struct {
	Class
	reserved int // slots that are always its own
	running  int
	queue    []*waiter
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

// Work is what a backend server is doing.
type Work struct {
	// Running is how many requests run.
	Running int
	// Priority is the one that most of them have.
	Priority int
	// Repeats is the part of them that are repeats, 0 to 1.
	Repeats float64
}

// New returns a gate without slots; Configure gives it some.
func New() *Gate {
	return &Gate{classes: map[string]*class{}, serviceByKind: serviceTimes{}}
}

// Configure sets the slots and classes. Requests that run or wait stay as they
// are; a class that is no longer declared goes on without a share.
func (lm *Gate) Configure(slots int, classes []Class) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.slots = slots
	for _, cl := range lm.order {
		cl.Share, cl.reserved, cl.Queue = 0, 0, 0
	}
	for _, cf := range classes {
		cl := lm.class(cf.Name)
		cl.Class = cf
		cl.reserved = slots * cf.Share / 100
		if cf.Share > 0 {
			cl.reserved = max(1, cl.reserved)
		}
	}
	lm.grantSlots()
}

// class returns the class of a name and makes it if need be; lm.mu is held.
func (lm *Gate) class(name string) *class {
	cl := lm.classes[name]
	if cl == nil {
		cl = &class{Class: Class{Name: name}}
		lm.classes[name] = cl
		lm.order = append(lm.order, cl)
	}
	return cl
}

// Ticket is a slot that a request holds.
type Ticket struct {
	lm         *Gate
	cl         *class
	rq         Request
	acquiredAt time.Time
	released   bool
}

// Enter waits for a slot. It returns a ticket, or the refusal of a request
// that has certainly not run. A request that could not be served before its
// deadline is refused at once, not when the deadline comes.
func (lm *Gate) Enter(ctx context.Context, rq Request) (*Ticket, *result.Refusal) {
	lm.mu.Lock()
	if lm.draining {
		lm.mu.Unlock()
		return nil, refuse(result.ReasonDraining, 0)
	}
	cl := lm.class(rq.Class)
	if lm.mayRun(cl) {
		sl := lm.admit(cl, rq)
		lm.mu.Unlock()
		return sl, nil
	}
	wt := newWaiter(rq, lm.expectedServiceTime(rq.Kind), time.Now())
	wt.rank = lm.ranker.rank(&rq, wt.serviceTime)
	pos := cl.position(wt)
	if rf := lm.refuseLate(ctx, cl, wt, pos); rf != nil {
		lm.mu.Unlock()
		return nil, rf
	}
	if len(cl.queue) >= cl.Queue {
		lm.evict(cl)
	}
	cl.queue = slices.Insert(cl.queue, pos, wt)
	lm.waiting++
	lm.mu.Unlock()
	return lm.wait(ctx, cl, wt)
}

// expectedServiceTime returns for how long a request of a kind is expected to hold a slot;
// lm.mu is held.
func (lm *Gate) expectedServiceTime(kind string) time.Duration {
	if d := lm.serviceByKind.expected(kind); d > 0 {
		return d
	}
	return lm.service.value
}

func refuse(reason result.Reason, retryAfter time.Duration) *result.Refusal {
	return &result.Refusal{Outcome: result.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// mayRun reports whether a request of the class gets a slot now. A class below
// its own share goes first; above it, a class takes what is idle as long as
// nobody waits for it. lm.mu is held.
func (lm *Gate) mayRun(cl *class) bool {
	if lm.running >= lm.slots {
		return false
	}
	return cl.running < cl.reserved || lm.waiting == 0
}

func (lm *Gate) admit(cl *class, rq Request) *Ticket {
	lm.running++
	cl.running++
	lm.countRunning(&rq, 1)
	return &Ticket{lm: lm, cl: cl, rq: rq, acquiredAt: time.Now()}
}

// countRunning counts a request that runs, or with n below zero one that has ended; lm.mu is
// held.
func (lm *Gate) countRunning(rq *Request, n int) {
	lm.repeats += float64(n) * rq.Repeat
	if !rq.Final {
		lm.runningByPriority[priorityIndex(rq.Priority)] += n
	}
}

// refuseLate refuses a request whose turn would come too late if it waited at a place
// of its class's queue; lm.mu is held.
func (lm *Gate) refuseLate(ctx context.Context, cl *class, wt *waiter, pos int) *result.Refusal {
	wait := lm.expectedWait(cl, wt, pos)
	last := pos >= len(cl.queue)
	if last && len(cl.queue) >= cl.Queue || wait > wt.maxExpectedWait() {
		return refuse(result.ReasonFull, wait)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait+wt.serviceTime {
		return refuse(result.ReasonTooLate, wait)
	}
	return nil
}

// expectedWait estimates when a slot would come to a request at a place of its
// class's queue, from the time for which those before it will hold theirs; lm.mu is
// held.
func (lm *Gate) expectedWait(cl *class, wt *waiter, pos int) time.Duration {
	slots, sum := lm.slots, lm.service.value+cl.serviceTimeAhead(wt, pos)
	if cl.reserved > 0 {
		// Its own slots serve its own queue first.
		slots = cl.reserved
	} else {
		sum += lm.service.value * time.Duration(lm.waiting-len(cl.queue))
	}
	if slots <= 0 {
		return time.Second
	}
	return sum / time.Duration(slots)
}

func (lm *Gate) wait(ctx context.Context, cl *class, wt *waiter) (*Ticket, *result.Refusal) {
	timeout, late := wt.queueTimeout(), false
	if remaining := wt.timeToLatestStart(ctx); remaining < timeout {
		timeout, late = remaining, true
	}
	tm := time.NewTimer(timeout)
	defer tm.Stop()
	select {
	case <-wt.ready:
	case <-ctx.Done():
	case <-tm.C:
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if wt.granted {
		// Granted and given up at the same moment counts as granted; the
		// caller sees its ended context next and leaves the slot.
		return &Ticket{lm: lm, cl: cl, rq: wt.Request, acquiredAt: time.Now()}, nil
	}
	retryAfter := lm.expectedWait(cl, wt, len(cl.queue))
	if !wt.dequeued {
		wt.dequeued = true
		lm.waiting--
		cl.remove(wt)
	}
	switch {
	case lm.draining:
		return nil, refuse(result.ReasonDraining, 0)
	case ctx.Err() != nil:
		return nil, refuse(result.ReasonDeadline, retryAfter)
	case late:
		return nil, refuse(result.ReasonTooLate, retryAfter)
	}
	return nil, refuse(result.ReasonFull, retryAfter)
}

// evict refuses the last of a full queue for one that goes before it, as long as
// there is one that is not the only one of its priority. Without
// that, calls of backend servers were refused behind a queue of less urgent
// requests, and the work of their callers was lost. lm.mu is held.
func (lm *Gate) evict(cl *class) {
	victim := cl.victim()
	cl.remove(victim)
	lm.waiting--
	victim.dequeued = true
	close(victim.ready)
}

// Since returns when the slot was given.
func (sl *Ticket) Since() time.Time { return sl.acquiredAt }

// Leave gives the slot back; it does so once. It is not safe for concurrent use.
func (sl *Ticket) Leave() {
	if sl.released {
		return
	}
	sl.released = true
	lm := sl.lm
	serviceTime := time.Since(sl.acquiredAt)
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.service.add(serviceTime)
	lm.serviceByKind.add(sl.rq.Kind, serviceTime)
	lm.ranker.add(&sl.rq, serviceTime)
	lm.countRunning(&sl.rq, -1)
	lm.running--
	sl.cl.running--
	lm.grantSlots()
	if lm.running == 0 && lm.idle != nil {
		close(lm.idle)
		lm.idle = nil
	}
}

// grantSlots gives free slots to those who wait: classes below their own share
// first, the one farthest below leading, then the others by their use.
// lm.mu is held.
func (lm *Gate) grantSlots() {
	for lm.running < lm.slots && lm.waiting > 0 {
		cl := lm.nextClass()
		if cl == nil {
			return
		}
		wt := cl.next(time.Now())
		cl.remove(wt)
		lm.waiting--
		wt.granted, wt.dequeued = true, true
		lm.running++
		cl.running++
		lm.countRunning(&wt.Request, 1)
		close(wt.ready)
	}
}

func (lm *Gate) nextClass() *class {
	var best *class
	for _, cl := range lm.order {
		if len(cl.queue) == 0 {
			continue
		}
		if best == nil || cl.utilization() < best.utilization() {
			best = cl
		}
	}
	return best
}

// utilization is the part of its own slots that a class uses; above 1 it borrows.
func (cl *class) utilization() float64 {
	if cl.reserved == 0 {
		return 1 + float64(cl.running)
	}
	return float64(cl.running) / float64(cl.reserved)
}

// Drain refuses all new requests from now on and those that wait. It returns
// how many run and a channel that is closed once none does.
func (lm *Gate) Drain() (running int, idle <-chan struct{}) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.draining = true
	for _, cl := range lm.order {
		for _, wt := range cl.queue {
			wt.dequeued = true
			close(wt.ready)
		}
		lm.waiting -= len(cl.queue)
		cl.queue = nil
	}
	if lm.idle == nil {
		lm.idle = make(chan struct{})
	}
	ch := lm.idle
	if lm.running == 0 {
		close(lm.idle)
		lm.idle = nil
	}
	return lm.running, ch
}

// Open admits requests again after a Drain, for another backend server.
func (lm *Gate) Open() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.draining = false
}

// Draining reports whether all new requests are refused.
func (lm *Gate) Draining() bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.draining
}

// Work returns what the backend server is doing.
func (lm *Gate) Work() Work {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac := Work{Running: lm.running}
	for pr, count := range lm.runningByPriority {
		if count >= lm.runningByPriority[ac.Priority] {
			ac.Priority = pr
		}
	}
	if lm.running > 0 {
		ac.Repeats = min(1, max(0, lm.repeats/float64(lm.running)))
	}
	return ac
}

// Load returns how many requests run and wait, the slots, and what waits are to be
// expected.
func (lm *Gate) Load() result.Load {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ld := result.Load{Running: lm.running, Waiting: lm.waiting, Slots: lm.slots, Service: lm.service.value.Truncate(time.Millisecond)}
	if lm.running < lm.slots || lm.slots <= 0 {
		return ld
	}
	now := time.Now()
	for i := range ld.Waits {
		ld.Waits[i] = lm.service.value
	}
	for _, cl := range lm.order {
		cl.addWaits(&ld.Waits, lm.ranker.callRank, now)
	}
	for i := range ld.Waits {
		ld.Waits[i] = (ld.Waits[i] / time.Duration(lm.slots)).Truncate(time.Millisecond)
	}
	return ld
}
