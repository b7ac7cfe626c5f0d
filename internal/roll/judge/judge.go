package judge

import (
	"slices"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/tally"
)

// Judge follows one rollout. It is made by New and is not safe for concurrent use.
type Judge struct {
	target   string
	duration time.Duration
	domains  map[string]*domain
	// requests is how many the target has run, all how many the service has since the
	// first look.
	requests, all uint64
	// first and looked are when the first and the last look were.
	first, looked time.Duration
	began         bool
}

// domain is what is known of a failure domain.
type domain struct {
	seen map[string]map[string]tally.Row // by version and route
	// routes has the tests by route.
	routes map[string]*route
	// requests is how many the target has run there.
	requests uint64
	sum      tally.Sum
	// whole has the tests over all routes together.
	whole route
}

// route compares the versions on one route.
type route struct {
	before          baseline
	failing, slower cusum
}

// New returns a judge of a rollout.
func New(target string, duration time.Duration) *Judge {
	return &Judge{target: target, duration: duration, domains: map[string]*domain{}}
}

// fadeTime is the time in which what the baseline did comes to count half.
const fadeTime = 2 * time.Second

// Look takes what the servers of the service did by failure domain, some time after the
// order. Sums of failure domains that are not heard are left out.
func (ju *Judge) Look(elapsed time.Duration, sums map[string]tally.Sum) {
	factor := 1.0
	if passed := elapsed - ju.looked; ju.began && passed > 0 {
		factor = exp2(-float64(passed) / float64(fadeTime))
	}
	for _, do := range ju.domains {
		do.sum = nil
		for _, rt := range do.routes {
			rt.before.fade(factor)
		}
	}
	news := map[*domain]map[string]*tally.Row{}
	for name, sum := range sums {
		do := ju.domains[name]
		if do == nil {
			do = &domain{seen: map[string]map[string]tally.Row{}, routes: map[string]*route{}}
			ju.domains[name] = do
		}
		do.sum = sum
		news[do] = ju.update(do, sum)
	}
	normals := map[string]*normal{}
	for do, rows := range news {
		allFailing, allSlower := 0.0, 0.0
		for name, ro := range rows {
			if normals[name] == nil {
				no := ju.normal(name)
				normals[name] = &no
			}
			rt := do.routes[name]
			failing, slower := failureEvidence(ro, normals[name]), slownessEvidence(ro, normals[name])
			rt.failing.add(failing)
			rt.slower.add(slower)
			allFailing += failing
			allSlower += slower
		}
		do.whole.failing.add(allFailing)
		do.whole.slower.add(allSlower)
	}
	if !ju.began {
		ju.first, ju.all = elapsed, 0
	}
	ju.looked, ju.began = elapsed, true
}

// update adds what a failure domain counted since the last look to its baselines, and
// returns what the target did there by route.
func (ju *Judge) update(do *domain, sum tally.Sum) map[string]*tally.Row {
	target := map[string]*tally.Row{}
	for software, ch := range sum {
		seen := do.seen[software]
		first := seen == nil
		if first {
			seen = map[string]tally.Row{}
			do.seen[software] = seen
		}
		for name, ro := range ch.Routes {
			before := seen[name]
			seen[name] = *ro
			next, ok := ro.Since(&before)
			if !ok {
				// A process was replaced, and its counts begin anew.
				continue
			}
			if do.routes[name] == nil {
				do.routes[name] = &route{}
			}
			if software == ju.target {
				target[name] = &next
				do.requests += next.Requests
				ju.requests += next.Requests
				ju.all += next.Requests
				continue
			}
			do.routes[name].before.add(&next)
			if !first {
				ju.all += next.Requests
			}
		}
	}
	return target
}

// leastBaseline is how many requests the baseline of a failure domain needs to count.
const leastBaseline = 30

// normal returns what is normal on a route.
func (ju *Judge) normal(name string) normal {
	var list []*baseline
	var all baseline
	for _, do := range ju.domains {
		rt := do.routes[name]
		if rt == nil {
			continue
		}
		all.plus(&rt.before)
		if rt.before.requests >= leastBaseline {
			list = append(list, &rt.before)
		}
	}
	if len(list) == 0 {
		list = []*baseline{&all}
	}
	return normalOf(list)
}

// The failure domains whose target servers count.
const (
	// leastRequests is how many requests the target has run in a failure domain that has a
	// say.
	leastRequests = 5
	// spareServers is from how many target servers on the evidence of one failure domain is
	// left out, the worst: one server of a good version may be bad. With fewer, too little
	// evidence would be left.
	spareServers = 6
)

// against returns the strongest evidence against the target, by route and kind, of all
// failure domains but the worst where there are several.
func (ju *Judge) against(servers int) float64 {
	byRoute := map[string][]*route{}
	var whole []*route
	for _, do := range ju.domains {
		if do.requests < leastRequests {
			continue
		}
		whole = append(whole, &do.whole)
		for name, rt := range do.routes {
			byRoute[name] = append(byRoute[name], rt)
		}
	}
	worst := together(whole, servers)
	for _, list := range byRoute {
		worst = max(worst, together(list, servers))
	}
	return worst
}

// together returns the stronger evidence of both kinds on one route in some failure domains.
func together(list []*route, servers int) float64 {
	var failing, slower []float64
	for _, rt := range list {
		failing, slower = append(failing, float64(rt.failing)), append(slower, float64(rt.slower))
	}
	return max(withoutWorst(failing, servers), withoutWorst(slower, servers))
}

// withoutWorst adds up evidence of failure domains without the strongest.
func withoutWorst(list []float64, servers int) (sum float64) {
	slices.Sort(list)
	if len(list) > 1 && servers >= spareServers {
		list = list[:len(list)-1]
	}
	for _, v := range list {
		sum += v
	}
	return sum
}

// Decision is what is to be done now.
type Decision struct {
	State canary.State
	// Share is the part of the requests for servers of the target, Servers how many of
	// those take them.
	Share   float64
	Servers int
	// Against is the evidence against the target, Requests how many it has run.
	Against  float64
	Requests uint64
}

// count returns how many servers of the target and of others there are, and how many
// requests the others run.
func (ju *Judge) count() (targets, others, running int) {
	for _, do := range ju.domains {
		for software, ch := range do.sum {
			if software == ju.target {
				targets += ch.Servers
				continue
			}
			others += ch.Servers
			running += ch.Running
		}
	}
	return targets, others, running
}
