package ctrl

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/plat/store"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
	"github.com/flamingomast/flamingomast/internal/roll/judge"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

const (
	// orderWatchTimeout is the longest duration of one watch call on the orders.
	orderWatchTimeout = 10 * time.Second
	// decideInterval is how often the daemons that follow the store decide on a rollout.
	decideInterval = 250 * time.Millisecond
	// settleRelay and settleMember are how long a daemon must have followed the store before it
	// watches the orders, as a relay and as one that hears no relay yet.
	settleRelay  = time.Second
	settleMember = 2500 * time.Millisecond
	// statusRetry is the delay before the state of a rollout is written again after a failure.
	statusRetry = 300 * time.Millisecond
	// beganPrefix is the prefix of the keys with the start times of rollouts, for daemons that
	// start after all were killed.
	beganPrefix = "rollout-began/"
)

// Rollouts describes where the store has the operators' rollout orders, and how the state of a
// rollout is stored.
type Rollouts struct {
	// Prefix is the prefix of the keys of the orders.
	Prefix string
	Read   func(key string, value []byte) (canary.Order, error)
	// StatusKey returns the key of the state of a service's rollout; Encode and Decode convert its
	// value.
	StatusKey func(service string) string
	Encode    func(target string, st canary.State) ([]byte, error)
	Decode    func(value []byte) (target string, st canary.State, err error)
}

// rolloutController decides on rollouts while this daemon follows the store.
type rolloutController struct {
	nd *Node
	// orders are the orders in the store as of ordersRevision.
	orders         map[string]canary.Order
	ordersRevision store.Revision
	evaluations    map[string]*evaluation
}

// evaluation is the judgement of one order.
type evaluation struct {
	order canary.Order
	judge *judge.Judge
	ramp  judge.Ramp
	// passed is set once the target version was judged good. It stays set even if the final state
	// has not been written yet.
	passed bool
	// writing is set while the state is being written.
	writing atomic.Bool
	// lastAnnounced is when a decision was last sent to the other daemons.
	lastAnnounced time.Time
}

// runRollouts watches the orders and decides on rollouts while this daemon follows the store.
func (nd *Node) runRollouts(ctx context.Context) {
	if nd.cf.Source.Rollouts.Prefix == "" {
		return
	}
	ro := &rolloutController{nd: nd, evaluations: map[string]*evaluation{}}
	for ctx.Err() == nil {
		following, changed := nd.following.Watch()
		if following == nil || !*following {
			ro.ordersRevision = store.Revision{}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-changed:
			// Many daemons that start together follow the store only for a moment.
			continue
		case <-ctx.Done():
			return
		case <-time.After(nd.settleTime()):
		}
		ro.follow(ctx, changed)
	}
}

// settleTime returns how long this daemon must have followed the store before it watches the
// orders.
func (nd *Node) settleTime() time.Duration {
	if nd.isRelay() {
		return settleRelay
	}
	return settleMember
}

// follow watches the orders and decides on rollouts until this daemon no longer follows the store.
func (ro *rolloutController) follow(ctx context.Context, stopped <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listings, at := make(chan store.Listing), ro.ordersRevision
	ro.nd.background(func() { ro.nd.watchOrders(ctx, at, listings) })
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			return
		case li := <-listings:
			ro.ordersRevision = li.Revision
			ro.handleOrders(ctx, li.Items)
		case <-tick.C:
		}
		ro.decideAll(ctx)
	}
}

// watchOrders sends each change of the orders to listings until ctx ends.
func (nd *Node) watchOrders(ctx context.Context, at store.Revision, listings chan<- store.Listing) {
	for ctx.Err() == nil {
		li, err := nd.cf.Store.WatchAll(ctx, nd.cf.Source.Rollouts.Prefix, at, orderWatchTimeout)
		if err != nil {
			if pause(ctx, maxRetry) != nil {
				return
			}
			continue
		}
		at = li.Revision
		if !li.Changed {
			continue
		}
		select {
		case listings <- li:
		case <-ctx.Done():
		}
	}
}

// handleOrders processes the orders in the store.
func (ro *rolloutController) handleOrders(ctx context.Context, items []store.Item) {
	src := &ro.nd.cf.Source.Rollouts
	ro.orders = map[string]canary.Order{}
	for _, it := range items {
		or, err := src.Read(it.Key, it.Value)
		if err != nil {
			ro.nd.log.Warn("rollout-order-unreadable", slog.String("key", it.Key), slog.Any("error", err))
			continue
		}
		or.Revision = it.Revision
		ro.orders[or.Service] = or
	}
	for _, service := range slices.Sorted(maps.Keys(ro.orders)) {
		ro.handleOrder(ctx, ro.orders[service])
	}
}

// handleOrder processes an order in the store. A known one continues, also if the store has it at a
// new revision in a later epoch.
func (ro *rolloutController) handleOrder(ctx context.Context, or canary.Order) {
	nd := ro.nd
	cur := nd.Board.Rollouts.Get().Get(or.Service)
	switch {
	case cur != nil && cur.Order.Revision == or.Revision && !or.Abort:
		return
	case cur != nil && cur.Order.Target == or.Target && cur.Order.Revision.Epoch < or.Revision.Epoch:
		next := *cur
		next.Order.Revision, next.Stored = or.Revision, false
		nd.mergeRollout(nil, &next)
		return
	}
	next := &canary.Rollout{Order: or, State: canary.InProgress, StartedAt: time.Now(), Baseline: nd.baseline(or, cur)}
	if or.Abort {
		next.State = canary.RolledBack
	}
	if known, err := ro.loadState(ctx, next); err != nil || !known {
		nd.log.Warn("rollout-began", slog.String(logs.Service, or.Service), slog.String("target", or.Target),
			slog.Any("baseline", next.Baseline), slog.Duration("duration", or.Duration), slog.Any("error", err))
	}
	nd.mergeRollout(nil, next)
}

// loadState loads the stored state of a rollout that no daemon knows: all may have been killed
// since it began.
func (ro *rolloutController) loadState(ctx context.Context, next *canary.Rollout) (known bool, err error) {
	nd, or := ro.nd, &next.Order
	src := &nd.cf.Source.Rollouts
	ent, err := nd.cf.Store.Get(ctx, src.StatusKey(or.Service))
	if err != nil || !ent.Revision.Exists() {
		return false, err
	}
	target, st, err := src.Decode(ent.Value)
	older := ent.Revision.Epoch == or.Revision.Epoch && ent.Revision.Number < or.Revision.Number
	if err != nil || target != or.Target || older {
		// The state belongs to another order.
		return false, err
	}
	next.State, next.Stored = st, true
	if st.Final() {
		return true, nil
	}
	ent, err = nd.cf.Store.Get(ctx, beganPrefix+or.Service)
	if err != nil {
		return true, err
	}
	ms, err := strconv.ParseInt(string(ent.Value), 10, 64)
	age := time.Since(time.UnixMilli(ms))
	if err != nil || age < 0 || age > or.Duration {
		// The remaining duration is unknown.
		next.State, next.Stored = canary.RolledBack, false
		return true, nil
	}
	next.StartedAt = time.Now().Add(-age)
	return true, nil
}

// baseline returns the versions that run besides the target of an order. If the previous order did
// not complete, these are the versions of its baseline.
func (nd *Node) baseline(or canary.Order, cur *canary.Rollout) []string {
	switch {
	case cur != nil && cur.State == canary.Complete && cur.Order.Target != or.Target:
		return []string{cur.Order.Target}
	case cur != nil && len(cur.Baseline) > 0 && !slices.Contains(cur.Baseline, or.Target):
		return cur.Baseline
	}
	var list []string
	for rc := range nd.Board.Members.Get().All {
		if rc.Service == or.Service && rc.Serving() && rc.Software != or.Target && rc.Software != "" && !slices.Contains(list, rc.Software) {
			list = append(list, rc.Software)
		}
	}
	slices.Sort(list)
	return list
}

// decideAll decides on all rollouts in progress, and starts writing the states that are not stored
// yet.
func (ro *rolloutController) decideAll(ctx context.Context) {
	vw := ro.nd.Board.Rollouts.Get()
	for _, cur := range vw.All() {
		ev := ro.evaluations[cur.Order.Service]
		if ev == nil || ev.order.Revision != cur.Order.Revision {
			ev = &evaluation{
				order: cur.Order, judge: judge.New(cur.Order.Target, cur.Order.Duration),
				ramp: judge.Resume(cur.Share),
			}
			ro.evaluations[cur.Order.Service] = ev
		}
		if cur.State == canary.InProgress {
			cur = ro.decide(ev, cur)
		}
		if cur.Stored || !ev.writing.CompareAndSwap(false, true) {
			continue
		}
		if !ro.nd.background(func() { ro.saveState(ctx, ev, cur) }) {
			return
		}
	}
}

// decide makes the next decision on a rollout in progress.
func (ro *rolloutController) decide(ev *evaluation, cur *canary.Rollout) *canary.Rollout {
	nd, now := ro.nd, time.Now()
	elapsed := now.Sub(cur.StartedAt)
	ev.judge.Observe(elapsed, nd.tallySums(cur.Order.Service, now))
	de := ev.ramp.Step(elapsed, ev.judge)
	if ev.passed {
		de.State, de.Share = canary.Complete, 1
	}
	next := *cur
	next.Seq = uint64(max(0, elapsed).Milliseconds())
	if de.State == canary.RolledBack {
		next.State, next.Share, next.Stored = canary.RolledBack, 0, false
		nd.log.Warn("rollout-decided", slog.String(logs.Service, cur.Order.Service), slog.String("target", cur.Order.Target),
			slog.String("state", next.State.String()), slog.Float64("evidence", de.Evidence), slog.String("measure", de.Cause.Measure), slog.String("route", de.Cause.Route), slog.Duration("window", de.Cause.Window),
			slog.Uint64("requests", de.Requests), slog.Duration("after", elapsed))
		nd.mergeRollout(nil, &next)
		return &next
	}
	next.Share, next.Servers, next.ValidUntil = de.Share, de.Servers, now.Add(canary.TTL)
	if de.State == canary.Complete {
		// Operators stop the baseline servers once the store shows this state; until then they may
		// still receive requests.
		ev.passed = true
		final := next
		final.State, final.Stored = canary.Complete, false
		ro.announce(ev, cur, &next, now)
		return &final
	}
	ro.announce(ev, cur, &next, now)
	return &next
}

// announce sends a decision to the other daemons: immediately if the share or the number of servers
// changes, otherwise at most every third of canary.TTL.
func (ro *rolloutController) announce(ev *evaluation, cur, next *canary.Rollout, now time.Time) {
	if next.Share == cur.Share && next.Servers == cur.Servers && now.Sub(ev.lastAnnounced) < canary.TTL/3 {
		return
	}
	if next.Share != cur.Share {
		ro.nd.log.Info("rollout-share", slog.String(logs.Service, next.Order.Service), slog.Float64("share", next.Share), slog.Int("servers", next.Servers))
	}
	ev.lastAnnounced = now
	ro.nd.mergeRollout(nil, next)
}

// saveState writes the state of a rollout, unless the store already has a final state, which is
// adopted.
func (ro *rolloutController) saveState(ctx context.Context, ev *evaluation, cur *canary.Rollout) {
	nd := ro.nd
	next := *cur
	err := ro.storeState(ctx, &next)
	if err != nil {
		nd.log.Warn("rollout-not-stored", slog.String(logs.Service, cur.Order.Service), slog.String("state", cur.State.String()), slog.Any("error", err))
		_ = pause(ctx, statusRetry)
	} else {
		next.Stored = true
		if next.State.Final() {
			nd.log.Warn("rollout-ended", slog.String(logs.Service, cur.Order.Service), slog.String("target", cur.Order.Target), slog.String("state", next.State.String()))
		}
		nd.mergeRollout(nil, &next)
	}
	ev.writing.Store(false)
}

// storeState writes a state to the store. If the store already has a final state of the same order,
// next takes that one.
func (ro *rolloutController) storeState(ctx context.Context, next *canary.Rollout) error {
	kv, src, or := ro.nd.cf.Store, &ro.nd.cf.Source.Rollouts, &next.Order
	if next.State == canary.InProgress {
		value := strconv.AppendInt(nil, next.StartedAt.UnixMilli(), 10)
		if err := put(ctx, kv, beganPrefix+or.Service, value); err != nil {
			return err
		}
	}
	key := src.StatusKey(or.Service)
	ent, err := kv.Get(ctx, key)
	if err != nil {
		return err
	}
	if ent.Revision.Exists() {
		target, st, err := src.Decode(ent.Value)
		same := err == nil && target == or.Target && (ent.Revision.Epoch != or.Revision.Epoch || ent.Revision.Number > or.Revision.Number)
		if same && (st == next.State || st.Final()) {
			next.State = st
			return nil
		}
	}
	value, err := src.Encode(or.Target, next.State)
	if err != nil {
		return err
	}
	ok, _, err := kv.Swap(ctx, store.Change{Key: key, Revision: ent.Revision, Value: value})
	if err == nil && !ok {
		err = &store.Error{Kind: store.Unavailable, Op: "swap", Key: key}
	}
	return err
}

// put writes a value, whatever the key contained.
func put(ctx context.Context, kv store.Store, key string, value []byte) error {
	ch := store.Change{Key: key, Value: value}
	ok, cur, err := kv.Swap(ctx, ch)
	if err == nil && !ok {
		ch.Revision = cur.Revision
		_, _, err = kv.Swap(ctx, ch)
	}
	return err
}

// mergeRollout merges the state of a rollout, from a peer or this daemon, and forwards it if it is
// new.
func (nd *Node) mergeRollout(from *link.Peer, ro *canary.Rollout) {
	changed := false
	nd.Board.Rollouts.Update(func(vw *canary.View) *canary.View {
		var next *canary.View
		next, changed = vw.Merge(ro)
		return next
	})
	if !changed {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendRollout(ro)
		}
	})
}
