package rate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound on what a server gets, as stated to operators: in any window, factor times what its limit
// allows, and spare requests more.
const (
	window = 4 * time.Second
	factor = 1.5
	spare  = 5
)

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// TestBound guards against requests that wait for slots, are refused or come in bursts exceeding the
// limit, also when the process restarts.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := rapid.SampledFrom([]float64{0, 0.05, 0.4, 1, 3.4, 20.7, 80}).Draw(t, "limit")
		demand := rapid.Float64Range(0.2, 200).Draw(t, "demand")
		maxWait := rapid.SampledFrom([]float64{0, 0.1, 3, 3.9}).Draw(t, "max wait")
		together := rapid.Bool().Draw(t, "waits end together")
		restartEvery := rapid.SampledFrom([]float64{1.1, 3, 100}).Draw(t, "restart every")
		li := &Limiter{}
		li.Name(limit, at(0))
		type waiting struct {
			token Token
			until float64
		}
		var queue []waiting
		var sent []float64
		restartAt := restartEvery
		for now := 0.0; now < 20; now += rnd.ExpFloat64() / demand {
			if now >= restartAt {
				restartAt += restartEvery
				li, queue = &Limiter{}, nil
				li.Adopt(limit, at(now))
			}
			rest := queue[:0]
			for _, w := range queue {
				switch {
				case w.until > now:
					rest = append(rest, w)
				case rnd.IntN(4) == 0:
					w.token.Cancel()
				default:
					if _, ok := w.token.Send(at(now)); ok {
						sent = append(sent, now)
					}
					w.token.Cancel()
				}
			}
			queue = rest
			if to, _, ok := li.Reserve(rnd.IntN(4), at(now)); ok {
				until := now + rnd.Float64()*maxWait
				if together && maxWait > 0 {
					until = math.Ceil(now/maxWait) * maxWait
				}
				queue = append(queue, waiting{to, until})
			}
		}
		for i, from := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s-from < window.Seconds() {
					n++
				}
			}
			if allowed := factor*limit*window.Seconds() + spare; float64(n) > allowed {
				t.Fatalf("%d requests within %v of %v s, %v allowed", n, window, from, allowed)
			}
		}
	})
}

// TestAdmittedRequestsSentTogether guards against requests that were admitted in time, and waited for
// slots, being sent together.
func TestAdmittedRequestsSentTogether(t *testing.T) {
	const limit, wait = 20.7, 3.9
	li := &Limiter{}
	li.Name(limit, at(0))
	for round := range 4 {
		var tokens []Token
		for i := range 390 {
			if to, _, ok := li.Reserve(0, at(float64(round)*wait+float64(i)/100)); ok {
				tokens = append(tokens, to)
			}
		}
		n := 0
		for _, to := range tokens {
			if _, ok := to.Send(at(float64(round+1) * wait)); ok {
				n++
			}
			to.Cancel()
		}
		if most := 1 + limit; float64(n) > most {
			t.Errorf("%d of %d are sent at once, want %v at most", n, len(tokens), most)
		}
	}
}

// served returns how many of the requests that come at a rate for some seconds get a token.
func served(li *Limiter, from, seconds, demand float64, rank int) (n int) {
	for i := range int(seconds * demand) {
		now := at(from + float64(i)/demand)
		to, _, ok := li.Reserve(rank, now)
		if !ok {
			continue
		}
		if _, ok := to.Send(now); ok {
			n++
		}
	}
	return n
}

// TestUsesLimit guards against a limit that is not used although there is demand.
func TestUsesLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 3.4, 20.7, 80} {
		li := &Limiter{}
		li.Name(limit, at(0))
		if n := served(li, 0, 100, 200, 1); float64(n) < 0.95*100*limit-1 {
			t.Errorf("limit %v: %d requests in 100 s", limit, n)
		}
	}
}

// TestZero guards against a limit of zero that is never lifted, since the server gets no request in
// whose response it could say so.
func TestZero(t *testing.T) {
	li := &Limiter{}
	li.Name(0, at(0))
	if n := served(li, 0, 21, 100, 3); n != 4 {
		t.Errorf("%d requests in 21 s, want one every %v", n, trialInterval)
	}
}

// TestLift guards against a limit that is lifted by a response that is older than it, and against
// everything being sent at once when it is lifted.
func TestLift(t *testing.T) {
	li := &Limiter{}
	li.Name(3.4, at(1))
	li.Lift(at(0.9), at(1.1))
	if _, ok := li.Limit(); !ok {
		t.Error("lifted by a response to a request that was sent before the limit was named")
	}
	li.Name(3.4, at(2))
	li.Lift(at(2.1), at(2.2))
	if _, ok := li.Limit(); ok {
		t.Error("not lifted by a response to a later request")
	}
	for _, tc := range []struct {
		from     float64
		min, max int
	}{{2.2, 1, 3}, {2.45, 1, 5}, {2.95, 6, 18}, {3.45, 25, 70}, {3.71, 250, 250}} {
		if n := served(li, tc.from, 0.25, 1000, 1); n < tc.min || n > tc.max {
			t.Errorf("%d requests in the quarter of a second from %v on, want %d to %d", n, tc.from, tc.min, tc.max)
		}
	}
}

// TestNamedBySomeResponses guards against a limit that does not hold since the server names it in
// some of its responses only.
func TestNamedBySomeResponses(t *testing.T) {
	li := &Limiter{}
	li.Name(10, at(0))
	n := 0
	for i := range 10_000 {
		now := at(float64(i) / 1000)
		to, _, ok := li.Reserve(1, now)
		if !ok {
			continue
		}
		if _, ok := to.Send(now); !ok {
			continue
		}
		if n++; n%2 == 0 {
			li.Name(10, now)
		} else {
			li.Lift(now, now)
		}
	}
	if n > 150 {
		t.Errorf("%d requests in 10 s at a limit of 10 a second that is named by every other response", n)
	}
}

// TestChangedStepByStep guards against tokens of a higher limit being used under a lower one.
func TestChangedStepByStep(t *testing.T) {
	li := &Limiter{}
	li.Name(80, at(0))
	for i, limit := range []float64{40, 20, 10, 5, 1} {
		from := float64(i + 1)
		li.Name(limit, at(from))
		if n := served(li, from, 1, 1000, 0); float64(n) > limit+1+limit*reserveBurst.Seconds() {
			t.Errorf("%d requests in the second after the limit became %v", n, limit)
		}
	}
	li.Name(50, at(7))
	if n := served(li, 7, 1, 1000, 0); n < 45 {
		t.Errorf("%d requests in the second after the limit was raised to 50", n)
	}
}

// TestAdopt guards against a sender's outdated word overriding what the server says.
func TestAdopt(t *testing.T) {
	li := &Limiter{}
	if !li.Adopt(3, at(0)) || li.Adopt(5, at(0)) {
		t.Error("the first word of a sender counts before the server was heard, and only it")
	}
	li.Lift(at(1), at(1.1))
	if li.Adopt(3, at(2)) {
		t.Error("adopted after the server was heard")
	}
	li.Reset()
	if _, ok := li.Limit(); ok || !li.Adopt(4, at(3)) {
		t.Error("another instance begins without a limit, and a sender's word counts")
	}
}

// TestRanks guards against less urgent requests using the rate that more urgent ones need, and
// against them getting nothing.
func TestRanks(t *testing.T) {
	li := &Limiter{}
	li.Name(20, at(0))
	rnd := rand.New(rand.NewPCG(1, 2))
	var offered, got [4]int
	for now := 0.0; now < 100; now += rnd.ExpFloat64() / 200 {
		rank := 3
		if rnd.IntN(20) == 0 {
			rank = 1
		}
		offered[rank]++
		if _, _, ok := li.Reserve(rank, at(now)); ok {
			got[rank]++
		}
	}
	if share := float64(got[1]) / float64(offered[1]); share < 0.9 {
		t.Errorf("%.2f of the urgent requests, half of the limit, are admitted", share)
	}
	li = &Limiter{}
	li.Name(20, at(0))
	low := 0
	for i := range 20_000 {
		rank := 1
		if i%2 == 0 {
			rank = 3
		}
		if _, _, ok := li.Reserve(rank, at(float64(i)/200)); ok && rank == 3 {
			low++
		}
	}
	if low < 100 {
		t.Errorf("%d of 2000 tokens go to less urgent requests while urgent ones exceed the limit", low)
	}
}

// TestTurns guards against refused senders all returning at the same moment, and after more than
// maxTurn.
func TestTurns(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 3.4, 20.7} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			li := &Limiter{}
			li.Name(limit, at(0))
			last := time.Duration(0)
			for i := range 300 {
				_, wait, ok := li.Reserve(1, at(0.001))
				if ok || wait <= 0 || wait > maxTurn {
					t.Fatalf("sender %d is told to return after %v", i, wait)
				}
				if wait < maxTurn && limit > 0 && wait-last < time.Duration(0.99/max(limit, 0.2)*float64(time.Second)) && i > 0 {
					t.Fatalf("sender %d is told to return %v after the one before", i, wait-last)
				}
				last = wait
			}
		})
	}
}

// TestExtremes guards against rates that overflow.
func TestExtremes(t *testing.T) {
	li := &Limiter{}
	li.Name(1e30, at(0))
	if n := served(li, 1, 1, 1000, 3); n != 1000 {
		t.Errorf("%d of 1000 at an enormous limit", n)
	}
	li.Lift(at(2), at(2))
	if n := served(li, 3, 1, 1000, 3); n != 1000 {
		t.Errorf("%d of 1000 after it was lifted", n)
	}
	if li.mu.Lock(); math.IsNaN(li.reserved) || math.IsNaN(li.sent) {
		t.Error("a bucket holds no number")
	}
	li.mu.Unlock()
}

// TestTurnsAfterLift guards against senders that are refused while a lifted limit is raised being told
// turns that follow those of the limit, seconds later.
func TestTurnsAfterLift(t *testing.T) {
	li := &Limiter{}
	li.Name(3.4, at(0))
	for range 100 {
		li.Reserve(1, at(1))
	}
	li.Lift(at(1.1), at(1.2))
	for {
		_, wait, ok := li.Reserve(1, at(1.2))
		if ok {
			continue
		}
		if wait > rampTime {
			t.Errorf("a sender is told to return after %v, when nothing is limited any more", wait)
		}
		break
	}
}
