package ctrl

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// rankedClass is a class of a tenant's requests.
type rankedClass struct {
	name                         string
	part                         float64
	rank                         int
	service, objective, deadline time.Duration
}

// rankedClasses is the mix of a large tenant of a car rental.
var rankedClasses = []rankedClass{
	{"lookup", 0.59, 0, 110 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond},
	{"booking", 0.21, 1, 140 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
	{"document", 0.083, 1, 88 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
	{"report", 0.12, 2, 440 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second},
}

// ownDelay is how long callers wait that are not told when to retry.
const ownDelay = 100 * time.Millisecond

// rankedCall is a request of a caller that retries once, at the same outlet.
type rankedCall struct {
	tenant  string
	class   int
	vm      string
	firstAt time.Time
	retried bool
}

// rankedResult counts the requests of a class by their end.
type rankedResult struct{ sent, inTime, late, refused int }

// rankedLoad offers the requests of two tenants to the outlets of a fleet.
type rankedLoad struct {
	qf *quotaFleet
	// stubborn callers retry without being told when.
	stubborn bool
	due      map[string]float64
	returns  map[int64][]rankedCall
	results  map[string]*[4]rankedResult
}

// otherTenant stays below its limit.
const otherTenant = "other"

// step offers the requests of one quotaStep, rates by tenant in requests per second.
func (rl *rankedLoad) step(rates map[string]float64) {
	rl.qf.updateGates()
	for _, name := range []string{quotaTenant, otherTenant} {
		for rl.due[name] += rates[name] * quotaStep.Seconds(); rl.due[name] >= 1; rl.due[name]-- {
			vm := rl.qf.ms.VMs[rl.qf.rnd.IntN(len(rl.qf.ms.VMs))].Name
			cl := rl.nextClass()
			rl.results[name][cl].sent++
			rl.qf.offered++
			rl.offer(rankedCall{tenant: name, class: cl, vm: vm, firstAt: time.Now()})
		}
	}
	key := time.Now().UnixNano() / int64(quotaStep)
	for _, ca := range rl.returns[key] {
		rl.offer(ca)
	}
	delete(rl.returns, key)
}

// nextClass draws the class of a request.
func (rl *rankedLoad) nextClass() int {
	draw := rl.qf.rnd.Float64() * 1.003
	for i, cl := range rankedClasses {
		if draw -= cl.part; draw < 0 {
			return i
		}
	}
	return len(rankedClasses) - 1
}

// offer offers a request to its outlet, and lets its caller retry as it is told.
func (rl *rankedLoad) offer(ca rankedCall) {
	now := time.Now()
	cl, rs := rankedClasses[ca.class], &rl.results[ca.tenant][ca.class]
	left := cl.objective - cl.service - now.Sub(ca.firstAt)
	de := rl.qf.gates[ca.vm].Admit(ca.tenant, admit.Rank(cl.rank, left < 0), now)
	switch {
	case de.Admitted:
		if ca.tenant == quotaTenant {
			rl.qf.admittedAt = append(rl.qf.admittedAt, now)
		}
		if left >= 0 {
			rs.inTime++
		} else {
			rs.late++
		}
		return
	case ca.retried:
		rs.refused++
		return
	}
	delay := de.Delay(left, rl.qf.rnd.Float64())
	if delay == 0 && !rl.stubborn {
		rs.refused++
		return
	}
	if delay == 0 {
		delay = ownDelay
	}
	// Callers honor Retry-After up to a third of the time that they have.
	delay = min(delay, (cl.deadline-now.Sub(ca.firstAt))/3)
	ca.retried = true
	key := now.Add(delay).UnixNano()/int64(quotaStep) + 1
	rl.returns[key] = append(rl.returns[key], ca)
}

// run offers requests for a time.
func (rl *rankedLoad) run(span time.Duration, rates map[string]float64) {
	for began := time.Now(); time.Since(began) < span; time.Sleep(quotaStep) {
		rl.step(rates)
	}
}

// clear forgets the results so far.
func (rl *rankedLoad) clear() {
	rl.results = map[string]*[4]rankedResult{quotaTenant: {}, otherTenant: {}}
}

// newRankedLoad declares a second tenant and returns the load of both.
func newRankedLoad(qf *quotaFleet, stubborn bool) *rankedLoad {
	ms := withLimit(qf.ms, qf.limit)
	ms.Tenants = append(ms.Tenants, decl.Tenant{Name: otherTenant, Rate: 96, Burst: 96, Keys: []decl.KeyDigest{decl.HashKey("key-of-the-other-tenant")}})
	slices.SortFunc(ms.Tenants, func(a, b decl.Tenant) int { return compareNames(a.Name, b.Name) })
	qf.version = qf.apply(ms, qf.version)
	qf.waitHeld(qf.version, 10*time.Second)
	qf.updateGates()
	time.Sleep(settleTime)
	rl := &rankedLoad{qf: qf, stubborn: stubborn, due: map[string]float64{}, returns: map[int64][]rankedCall{}}
	rl.clear()
	return rl
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// idealShares returns the part of each class that a tenant's limit can serve if urgent classes go
// first and each keeps a quarter of the mean.
func idealShares(mean float64) (shares [4]float64) {
	var demand [admit.Ranks]float64
	for _, cl := range rankedClasses {
		demand[cl.rank] += cl.part / 1.003
	}
	// Each rank has 0.3 of the mean, so that chance leaves none below a quarter of it.
	left := mean * 0.7
	var byRank [admit.Ranks]float64
	for i, d := range demand {
		extra := 0.0
		if d > 0 {
			extra = min(left/d, 1-0.3*mean)
		}
		byRank[i] = 0.3*mean + extra
		left -= extra * d
	}
	for i, cl := range rankedClasses {
		shares[i] = byRank[cl.rank]
	}
	return shares
}

// TestRanksOverLimit guards against a tenant above its limit being refused in order of arrival, as if
// all of its requests were equally urgent, against requests that are admitted when they can no longer
// be in time, and against more being admitted in all because of that.
func TestRanksOverLimit(t *testing.T) {
	for _, factor := range []float64{2, 3, 6} {
		for _, stubborn := range []bool{false, true} {
			t.Run(fmt.Sprintf("%g times, callers retry unasked %t", factor, stubborn), func(t *testing.T) {
				limit := func(size) admit.Limit { return admit.Limit{Rate: 90, Burst: 90} }
				eachQuotaSize(t, limit, func(t *testing.T, qf *quotaFleet) { checkRanks(t, qf, factor, stubborn) })
			})
		}
	}
}

func checkRanks(t *testing.T, qf *quotaFleet, factor float64, stubborn bool) {
	rl := newRankedLoad(qf, stubborn)
	usual := map[string]float64{quotaTenant: 0.6 * qf.limit.Rate, otherTenant: 60}
	rl.run(3*time.Second, usual)
	rl.clear()
	high := map[string]float64{quotaTenant: factor * qf.limit.Rate, otherTenant: 60}
	rl.run(3*time.Second, high)
	other := rl.results[otherTenant]
	rl.clear()
	const span = 20 * time.Second
	rl.run(span, high)
	results := *rl.results[quotaTenant]
	mean := 1 / factor
	want := idealShares(mean)
	admitted, late := 0, 0
	for i, rs := range results {
		cl := rankedClasses[i]
		got := float64(rs.inTime) / float64(rs.sent)
		t.Logf("%-8s sent %4d: in time %.3f (ideal %.3f), late %.3f, refused %.3f", cl.name, rs.sent, got, want[i], float64(rs.late)/float64(rs.sent), float64(rs.refused)/float64(rs.sent))
		admitted, late = admitted+rs.inTime+rs.late, late+rs.late
		// A quarter of the mean is a few requests of a rare class: chance is allowed for.
		few := 3 * math.Sqrt(want[i]/float64(rs.sent))
		if got < 0.93*want[i]-few {
			t.Errorf("%s: %.3f served in time, want %.3f", cl.name, got, want[i])
		}
	}
	if got := float64(admitted) / (qf.limit.Rate * span.Seconds()); got < 0.95 {
		t.Errorf("%.3f of the limit was used", got)
	}
	if float64(late) > 0.02*float64(admitted) {
		t.Errorf("%d of %d admitted requests were late", late, admitted)
	}
	for i, rs := range rl.results[otherTenant] {
		if n := rs.refused + other[i].refused + rs.late + other[i].late; n > 0 {
			t.Errorf("other tenant, %s: %d refused or late", rankedClasses[i].name, n)
		}
	}
	qf.checkWindows(time.Time{}, qf.limit)
}

// TestRanksChange guards against more being admitted than the limit allows when a tenant far above its
// limit goes from requests of its least urgent rank to those of its most urgent one, for which outlets
// still have the share of a rank that hardly sends, and back.
func TestRanksChange(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		qf.send(5*time.Second, 0.6*qf.limit.Rate, nil)
		for i := range 6 {
			qf.rank = map[bool]int{true: 3, false: 0}[i%2 == 0]
			wantServed(t, fmt.Sprint("eight times the limit, rank ", qf.rank), 8*qf.send(3*time.Second, 8*qf.limit.Rate, nil), 0.85)
		}
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// TestRanksMixedReleases guards against the limit being exceeded or not used up while every other
// outlet is of the previous release, which reports no ranks and follows the mean share only, and
// against requests there being refused for those at outlets that report ranks.
func TestRanksMixedReleases(t *testing.T) {
	eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) {
		qf.unranked = map[string]bool{}
		var all []string
		for i, vm := range qf.ms.VMs {
			qf.unranked[vm.Name] = i%2 == 0
			all = append(all, vm.Name)
		}
		qf.kill(all...)
		qf.startAll()
		qf.waitHeld(qf.version, 20*time.Second)
		qf.waitMembers(20 * time.Second)
		qf.updateGates()
		time.Sleep(settleTime)
		const factor = 3
		due := 0.0
		var sent, admitted [2][admit.Ranks]float64
		for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(quotaStep) {
			for due += factor * qf.limit.Rate * quotaStep.Seconds(); due >= 1; due-- {
				vm := all[qf.rnd.IntN(len(all))]
				qf.rank = []int{0, 0, 1, 2}[qf.rnd.IntN(4)]
				qf.offered++
				kind := map[bool]int{true: 1}[qf.unranked[vm]]
				sent[kind][qf.rank]++
				if qf.admit(qf.nodes[vm], time.Now()) {
					admitted[kind][qf.rank]++
				}
			}
		}
		mean := float64(len(qf.admittedAt)) / float64(qf.offered)
		ranked, unranked := admitted[0], admitted[1]
		for i := range 3 {
			ranked[i] /= sent[0][i]
			unranked[i] /= sent[1][i]
		}
		t.Logf("mean %.3f, with ranks %.3f, without %.3f", mean, ranked[:3], unranked[:3])
		for i, share := range unranked[:3] {
			if math.Abs(share/mean-1) > 0.15 {
				t.Errorf("without ranks: %.3f of rank %d admitted, want the mean", share, i)
			}
		}
		if ranked[0] < 1.4*mean || ranked[2] > 0.6*mean {
			t.Errorf("with ranks: admitted %.3f", ranked)
		}
		if total := float64(len(qf.admittedAt)) / (15 * qf.limit.Rate); total < 0.95 {
			t.Errorf("%.3f of the limit was used", total)
		}
		qf.checkWindows(time.Time{}, qf.limit)
	})
}

// withoutRanks returns how a gate reports and what it follows in a daemon of the previous release.
func withoutRanks(ga *admit.Gate) (usage func() []admit.Usage, directive func() *admit.Directive) {
	newest := ga.Directive
	usage = func() []admit.Usage {
		list := ga.Usage()
		for i := range list {
			list[i].Ranks, list[i].LastRanks = admit.RankCounts{}, admit.RankCounts{}
		}
		return list
	}
	return usage, func() *admit.Directive {
		di := newest()
		if di == nil {
			return nil
		}
		next := *di
		next.Shares = map[string]admit.Share{}
		for name, sh := range di.Shares {
			sh.ByRank = nil
			next.Shares[name] = sh
		}
		return &next
	}
}

// TestReturningCallers guards against callers of a short flood being told to retry at a time at which
// nothing is left to admit beside the requests that come anyway, or all at once: their retries are
// refused, and fresh requests are refused for them.
func TestReturningCallers(t *testing.T) {
	for _, part := range []float64{0.6, 0.9} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			eachQuotaSize(t, limitFor, func(t *testing.T, qf *quotaFleet) { checkReturns(t, qf, part) })
		})
	}
}

func checkReturns(t *testing.T, qf *quotaFleet, part float64) {
	qf.send(8*time.Second, part*qf.limit.Rate, nil)
	const floodSteps = int(500 * time.Millisecond / quotaStep)
	type counts struct{ sent, admitted int }
	var fresh, early, returned counts
	// returns has the outlets at which callers return, by step, bySecond how many return.
	returns, bySecond := map[int][]string{}, map[int]int{}
	due := 0.0
	const steps = int(25 * time.Second / quotaStep)
	for i := range steps {
		offer := func(vm string, co *counts) bool {
			co.sent++
			qf.offered++
			now := time.Now()
			de := qf.gates[vm].Admit(quotaTenant, 0, now)
			if de.Admitted {
				co.admitted++
				qf.admittedAt = append(qf.admittedAt, now)
				return true
			}
			if co == &returned {
				return false
			}
			if delay := de.Delay(9*time.Second, qf.rnd.Float64()); delay > 0 {
				at := i + 1 + int(delay/quotaStep)
				returns[at] = append(returns[at], vm)
				bySecond[at*int(quotaStep)/int(time.Second)]++
			}
			return false
		}
		rate := part * qf.limit.Rate
		if i < floodSteps {
			rate = 8 * qf.limit.Rate
		}
		for due += rate * quotaStep.Seconds(); due >= 1; due-- {
			co := &fresh
			if i < int(3*time.Second/quotaStep) {
				co = &early
			}
			offer(qf.ms.VMs[qf.rnd.IntN(len(qf.ms.VMs))].Name, co)
		}
		for _, vm := range returns[i] {
			offer(vm, &returned)
		}
		time.Sleep(quotaStep)
	}
	most := 0
	for _, n := range bySecond {
		most = max(most, n)
	}
	ratio := func(co counts) float64 { return float64(co.admitted) / float64(max(1, co.sent)) }
	t.Logf("fresh in the first 3 s %.3f, later %.3f of %d; returned %.3f of %d, at most %d in a second", ratio(early), ratio(fresh), fresh.sent, ratio(returned), returned.sent, most)
	if got := ratio(fresh); got < 0.99 {
		t.Errorf("%.3f of the fresh requests admitted", got)
	}
	if got := ratio(returned); returned.sent > 0 && got < 0.8 {
		t.Errorf("%.3f of %d returning requests admitted", got, returned.sent)
	}
	if spare := 1.5 * (1 - part) * qf.limit.Rate; float64(most) > spare+5 {
		t.Errorf("%d callers return in one second, want at most %.0f", most, spare)
	}
	qf.checkWindows(time.Time{}, qf.limit)
}
