package limit

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// Class is a group of requests with a reserved share of the slots.
type Class struct {
	Name string
	// Share is the percentage of the slots that is reserved for the class.
	Share int
	// Queue is how many requests of the class may wait.
	Queue int
}

// Limiter admits requests to a backend server. Its methods are safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	slots    int
	running  int
	waiting  int
	draining bool
	classes  map[string]*class
	order    []*class
	// meanServiceTime is the average time a slot is held, meanServiceTimeByKind the same by kind of
	// request.
	meanServiceTime       movingAverage
	meanServiceTimeByKind serviceTimes
	ranker                ranker
	// sinceFloor counts the slots given to queued requests since one went to a floor request.
	sinceFloor int
	// runningByPriority counts the running requests without calls.
	runningByPriority [result.Ranks - 1]int
	// repeats is the expected number of running requests that are repeats, the sum of
	// Request.Repeat.
	repeats float64
	idle    chan struct{}
}

type class struct {
	Class
	reserved int // slots reserved for the class
	running  int
	queue    []*waiter
	// grants counts the slots given to queued requests.
	grants int
}

// Request describes a request to be admitted.
type Request struct {
	// Class is the name of the class whose slots the request uses.
	Class string
	// Kind groups requests with similar service times.
	Kind string
	// Priority orders the queued requests of a class, 0 first.
	Priority int
	// Objective is the time left to answer the request in time, 0 if no objective is declared.
	Objective time.Duration
	// Final is set if the caller does not retry after a refusal. That is the case for calls:
	// requests that a backend server makes while it runs another one.
	Final bool
	// Floor is set if the kind of the request is below its floor: it goes ahead of the others, in at most
	// one slot in floorEvery.
	Floor bool
	// Repeat is the probability, 0 to 1, that a backend server received the request before.
	Repeat float64
}

// Activity describes the running requests of a backend server.
type Activity struct {
	// Running is the number of running requests.
	Running int
	// Priority is the most frequent one among them.
	Priority int
	// Repeats is the fraction of them that are repeats, 0 to 1.
	Repeats float64
}

// New returns a limiter without slots; Configure sets them.
func New() *Limiter {
	return &Limiter{classes: map[string]*class{}, meanServiceTimeByKind: serviceTimes{}, sinceFloor: floorEvery}
}

// Configure sets the slots and classes. Running and queued requests are unaffected. A class that is
// no longer declared continues without a reserved share.
func (lm *Limiter) Configure(slots int, classes []Class) {
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

// class returns the class of the given name, creating it if needed. lm.mu must be held.
func (lm *Limiter) class(name string) *class {
	cl := lm.classes[name]
	if cl == nil {
		cl = &class{Class: Class{Name: name}}
		lm.classes[name] = cl
		lm.order = append(lm.order, cl)
	}
	return cl
}

// Slot is a slot held by a request.
type Slot struct {
	lm         *Limiter
	cl         *class
	rq         Request
	acquiredAt time.Time
	released   bool
	held       time.Duration // set when released
}

// Acquire waits for a slot. It returns the slot, or a refusal if the request has certainly not run.
// A request that cannot be served before its deadline is refused immediately rather than when the
// deadline passes.
func (lm *Limiter) Acquire(ctx context.Context, rq Request) (*Slot, *result.Refusal) {
	lm.mu.Lock()
	if lm.draining {
		lm.mu.Unlock()
		return nil, refuse(result.ReasonDraining, "", 0)
	}
	cl := lm.class(rq.Class)
	if lm.mayRun(cl) {
		sl := lm.admit(cl, rq)
		lm.mu.Unlock()
		return sl, nil
	}
	wt := newWaiter(rq, lm.expectedServiceTime(rq.Kind), time.Now())
	wt.rank = lm.ranker.rank(&rq, wt.serviceTime)
	if rq.Floor && cl.floorWaiting() < max(1, cl.Queue/floorQueueDivisor) {
		wt.floor, wt.rank = true, floorRank
	}
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

// expectedServiceTime returns the average service time of a kind, or of all requests if the kind
// has no samples. lm.mu must be held.
func (lm *Limiter) expectedServiceTime(kind string) time.Duration {
	if d := lm.meanServiceTimeByKind.expected(kind); d > 0 {
		return d
	}
	return lm.meanServiceTime.value
}

func refuse(reason result.Reason, check result.Check, retryAfter time.Duration) *result.Refusal {
	return &result.Refusal{Outcome: result.NotRun, Reason: reason, Check: check, RetryAfter: retryAfter}
}

// mayRun reports whether a request of the class can run immediately. A class below its reserved
// share gets any free slot; above it, a class may borrow free slots as long as no request is
// queued. lm.mu must be held.
func (lm *Limiter) mayRun(cl *class) bool {
	if lm.running >= lm.slots {
		return false
	}
	return cl.running < cl.reserved || lm.waiting == 0
}

func (lm *Limiter) admit(cl *class, rq Request) *Slot {
	lm.running++
	cl.running++
	lm.countRunning(&rq, 1)
	return &Slot{lm: lm, cl: cl, rq: rq, acquiredAt: time.Now()}
}

// countRunning adds a started request to the counts, or removes a finished one if n is negative.
// lm.mu must be held.
func (lm *Limiter) countRunning(rq *Request, n int) {
	lm.repeats += float64(n) * rq.Repeat
	if !rq.Final {
		lm.runningByPriority[priorityIndex(rq.Priority)] += n
	}
}

// refuseLate returns a refusal if the queue of the class is full, or if a request at position pos
// would get its slot too late; otherwise nil. lm.mu must be held.
func (lm *Limiter) refuseLate(ctx context.Context, cl *class, wt *waiter, pos int) *result.Refusal {
	wait := lm.expectedWait(cl, wt, pos)
	last := pos >= len(cl.queue)
	if last && len(cl.queue) >= cl.Queue {
		return refuse(result.ReasonSlotsFull, result.CheckQueueFull, wait)
	}
	if wait > wt.maxExpectedWait() {
		return refuse(result.ReasonSlotsFull, result.CheckExpectedWait, wait)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait+wt.serviceTime {
		return refuse(result.ReasonDeadlineTooNear, result.CheckDeadline, wait)
	}
	return nil
}

// expectedWait estimates how long a request at position pos of its class's queue waits for a slot,
// based on the service times of the requests ahead of it. lm.mu must be held.
func (lm *Limiter) expectedWait(cl *class, wt *waiter, pos int) time.Duration {
	slots, sum := lm.slots, lm.meanServiceTime.value+cl.serviceTimeAhead(wt, pos)
	if cl.reserved > 0 {
		// Reserved slots serve the queue of their own class first.
		slots = cl.reserved
	} else {
		sum += lm.meanServiceTime.value * time.Duration(lm.waiting-len(cl.queue))
	}
	if slots <= 0 {
		return time.Second
	}
	return sum / time.Duration(slots)
}

func (lm *Limiter) wait(ctx context.Context, cl *class, wt *waiter) (*Slot, *result.Refusal) {
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
		// A slot granted at the moment the context ended still counts as granted. The caller
		// notices the ended context next and releases the slot.
		return &Slot{lm: lm, cl: cl, rq: wt.Request, acquiredAt: time.Now()}, nil
	}
	retryAfter := lm.expectedWait(cl, wt, len(cl.queue))
	check := result.CheckEvicted
	if !wt.dequeued {
		check = result.CheckQueueTimeout
		wt.dequeued = true
		lm.waiting--
		cl.remove(wt)
	}
	switch {
	case lm.draining:
		return nil, refuse(result.ReasonDraining, "", 0)
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, refuse(result.ReasonCallerGone, "", 0)
	case ctx.Err() != nil:
		return nil, refuse(result.ReasonDeadlinePassed, check, retryAfter)
	case late:
		return nil, refuse(result.ReasonDeadlineTooNear, check, retryAfter)
	}
	return nil, refuse(result.ReasonSlotsFull, check, retryAfter)
}

// evict refuses the victim of a full queue to make room for a request ranked ahead of it. Without
// this, calls of backend servers were refused when the queue was full of less urgent requests, and
// the work already done for their parent requests was lost. lm.mu must be held.
func (lm *Limiter) evict(cl *class) {
	victim := cl.victim()
	cl.remove(victim)
	lm.waiting--
	victim.dequeued = true
	close(victim.ready)
}

// AcquiredAt returns when the slot was acquired.
func (sl *Slot) AcquiredAt() time.Time { return sl.acquiredAt }

// Held returns for how long the slot has been or was held.
func (sl *Slot) Held(now time.Time) time.Duration {
	if sl.released {
		return sl.held
	}
	return now.Sub(sl.acquiredAt)
}

// Release returns the slot. Further calls have no effect. It is not safe for concurrent use.
func (sl *Slot) Release() {
	if sl.released {
		return
	}
	sl.released = true
	lm := sl.lm
	serviceTime := time.Since(sl.acquiredAt)
	sl.held = serviceTime
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.meanServiceTime.add(serviceTime)
	lm.meanServiceTimeByKind.add(sl.rq.Kind, serviceTime)
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

// grantSlots gives free slots to queued requests. The class with the lowest utilization goes first,
// so classes below their reserved share go before those that borrow. lm.mu must be held.
func (lm *Limiter) grantSlots() {
	for lm.running < lm.slots && lm.waiting > 0 {
		cl := lm.nextClass()
		if cl == nil {
			return
		}
		wt := cl.next(time.Now(), lm.floorAllowed())
		lm.sinceFloor++
		if wt.floor {
			lm.sinceFloor = 0
		}
		cl.remove(wt)
		lm.waiting--
		wt.granted, wt.dequeued = true, true
		lm.running++
		cl.running++
		lm.countRunning(&wt.Request, 1)
		close(wt.ready)
	}
}

// floorAllowed reports whether the next slot may go to a floor request ahead of the others. lm.mu must be
// held.
func (lm *Limiter) floorAllowed() bool { return lm.sinceFloor >= floorEvery-1 }

// nextClass returns the class whose queue gets the next slot, nil if all are empty.
func (lm *Limiter) nextClass() *class {
	var best *class
	if lm.floorAllowed() {
		for _, cl := range lm.order {
			if cl.floorFirst() && (best == nil || cl.queue[0].since.Before(best.queue[0].since)) {
				best = cl
			}
		}
		if best != nil {
			return best
		}
	}
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

// utilization returns the ratio of running requests to reserved slots. At 1 or above, the class
// borrows its next slot; a class without reserved slots starts at 1.
func (cl *class) utilization() float64 {
	if cl.reserved == 0 {
		return 1 + float64(cl.running)
	}
	return float64(cl.running) / float64(cl.reserved)
}

// Drain refuses all queued and new requests. It returns how many requests are running and a channel
// that is closed when none is left.
func (lm *Limiter) Drain() (running int, idle <-chan struct{}) {
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

// Resume admits requests again after Drain, for another backend server.
func (lm *Limiter) Resume() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.draining = false
}

// Draining reports whether all requests are refused because of Drain.
func (lm *Limiter) Draining() bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.draining
}

// Activity returns what the backend server is running.
func (lm *Limiter) Activity() Activity {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ac := Activity{Running: lm.running}
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

// Load returns the numbers of running and queued requests, the slots, and the expected waits by
// rank.
func (lm *Limiter) Load() result.Load {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	ld := result.Load{Running: lm.running, Waiting: lm.waiting, Slots: lm.slots, ServiceTime: lm.meanServiceTime.value.Truncate(time.Millisecond)}
	if lm.running < lm.slots || lm.slots <= 0 {
		return ld
	}
	now := time.Now()
	for i := range ld.Waits {
		ld.Waits[i] = lm.meanServiceTime.value
	}
	for _, cl := range lm.order {
		cl.addWaits(&ld.Waits, lm.ranker.callRank, now)
	}
	for i := range ld.Waits {
		ld.Waits[i] = (ld.Waits[i] / time.Duration(lm.slots)).Truncate(time.Millisecond)
	}
	return ld
}
