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
	// orderWait is how long a watch of the orders waits.
	orderWait = 10 * time.Second
	// decideInterval is how often the daemons that follow the store decide on a rollout.
	decideInterval = 250 * time.Millisecond
	// settleRelay and settlePlain are how long a daemon follows the store before it watches
	// the orders, as a relay and as one that hears no relay yet.
	settleRelay = time.Second
	settlePlain = 2500 * time.Millisecond
	// statusRetry is the pause before the state of a rollout is written again.
	statusRetry = 300 * time.Millisecond
	// beganPrefix begins the keys that have when a rollout began, for daemons that start
	// after all were killed.
	beganPrefix = "rollout-began/"
)

// Rollouts says where an operator's orders of rollouts are in the store, and how their state
// is written there.
type Rollouts struct {
	// Prefix begins the keys of the orders.
	Prefix string
	Read   func(key string, value []byte) (canary.Order, error)
	// StatusKey is the key of the state of a service's rollout, Encode its value and Decode
	// reads that.
	StatusKey func(service string) string
	Encode    func(target string, st canary.State) ([]byte, error)
	Decode    func(value []byte) (target string, st canary.State, err error)
}

// roller decides on rollouts while this daemon follows the store.
type roller struct {
	nd *Node
	// seen are the orders in the store, at the write given.
	seen   map[string]canary.Order
	at     store.Revision
	trials map[string]*trial
}

// trial is the judgement of one order.
type trial struct {
	order canary.Order
	judge *judge.Judge
	ramp  judge.Ramp
	// complete is set once the version was found good: that holds though its state is not
	// written yet.
	complete bool
	// writing is set while the state is written.
	writing atomic.Bool
	// announced is when a decision was sent to the others last.
	announced time.Time
}

// runRollouts watches the orders and decides, while this daemon follows the store.
func (nd *Node) runRollouts(ctx context.Context) {
	if nd.cf.Source.Rollouts.Prefix == "" {
		return
	}
	ro := &roller{nd: nd, trials: map[string]*trial{}}
	for ctx.Err() == nil {
		following, changed := nd.following.Watch()
		if following == nil || !*following {
			ro.at = store.Revision{}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-changed:
			// One of many that start together and follow the store for a moment.
			continue
		case <-ctx.Done():
			return
		case <-time.After(nd.settleTime()):
		}
		ro.follow(ctx, changed)
	}
}

// settleTime returns how long this daemon follows the store before it watches the orders.
func (nd *Node) settleTime() time.Duration {
	if nd.isRelay() {
		return settleRelay
	}
	return settlePlain
}

// follow watches and decides until this daemon no longer follows the store.
func (ro *roller) follow(ctx context.Context, over <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listings, at := make(chan store.Listing), ro.at
	ro.nd.background(func() { ro.nd.watchOrders(ctx, at, listings) })
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case li := <-listings:
			ro.at = li.Revision
			ro.handleOrders(ctx, li.Items)
		case <-tick.C:
		}
		ro.round(ctx)
	}
}

// watchOrders sends each change of the orders until ctx ends.
func (nd *Node) watchOrders(ctx context.Context, at store.Revision, listings chan<- store.Listing) {
	for ctx.Err() == nil {
		li, err := nd.cf.Store.WatchAll(ctx, nd.cf.Source.Rollouts.Prefix, at, orderWait)
		if err != nil {
			if pause(ctx, mostRetry) != nil {
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

// handleOrders takes the orders that the store has.
func (ro *roller) handleOrders(ctx context.Context, items []store.Item) {
	src := &ro.nd.cf.Source.Rollouts
	ro.seen = map[string]canary.Order{}
	for _, it := range items {
		or, err := src.Read(it.Key, it.Value)
		if err != nil {
			ro.nd.log.Warn("rollout-order-unreadable", slog.String("key", it.Key), slog.Any("error", err))
			continue
		}
		or.Revision = it.Revision
		ro.seen[or.Service] = or
	}
	for _, service := range slices.Sorted(maps.Keys(ro.seen)) {
		ro.handleOrder(ctx, ro.seen[service])
	}
}

// handleOrder takes an order that the store has. One that is known goes on, also where the store
// has it anew in another epoch.
func (ro *roller) handleOrder(ctx context.Context, or canary.Order) {
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
	if known, err := ro.recall(ctx, next); err != nil || !known {
		nd.log.Warn("rollout-began", slog.String(logs.Service, or.Service), slog.String("target", or.Target),
			slog.Any("baseline", next.Baseline), slog.Duration("duration", or.Duration), slog.Any("error", err))
	}
	nd.mergeRollout(nil, next)
}

// recall takes what the store has of a rollout that no daemon knows: all may have been
// killed since it began.
func (ro *roller) recall(ctx context.Context, next *canary.Rollout) (known bool, err error) {
	nd, or := ro.nd, &next.Order
	src := &nd.cf.Source.Rollouts
	ent, err := nd.cf.Store.Get(ctx, src.StatusKey(or.Service))
	if err != nil || !ent.Revision.Exists() {
		return false, err
	}
	target, st, err := src.Decode(ent.Value)
	older := ent.Revision.Epoch == or.Revision.Epoch && ent.Revision.Number < or.Revision.Number
	if err != nil || target != or.Target || older {
		// It is of another order.
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
		// How long it lasts cannot be told any more.
		next.State, next.Stored = canary.RolledBack, false
		return true, nil
	}
	next.StartedAt = time.Now().Add(-age)
	return true, nil
}

// baseline returns the versions that serve beside the target of an order: those of before
// where another order was not complete.
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

// round decides on all rollouts in progress, and has their states written.
func (ro *roller) round(ctx context.Context) {
	vw := ro.nd.Board.Rollouts.Get()
	for _, cur := range vw.All() {
		tr := ro.trials[cur.Order.Service]
		if tr == nil || tr.order.Revision != cur.Order.Revision {
			tr = &trial{
				order: cur.Order, judge: judge.New(cur.Order.Target, cur.Order.Duration),
				ramp: judge.Resume(cur.Share),
			}
			ro.trials[cur.Order.Service] = tr
		}
		if cur.State == canary.InProgress {
			cur = ro.decide(tr, cur)
		}
		if cur.Stored || !tr.writing.CompareAndSwap(false, true) {
			continue
		}
		if !ro.nd.background(func() { ro.write(ctx, tr, cur) }) {
			return
		}
	}
}

// decide takes the next decision on a rollout in progress.
func (ro *roller) decide(tr *trial, cur *canary.Rollout) *canary.Rollout {
	nd, now := ro.nd, time.Now()
	elapsed := now.Sub(cur.StartedAt)
	tr.judge.Observe(elapsed, nd.tallySums(cur.Order.Service, now))
	de := tr.ramp.Step(elapsed, tr.judge)
	if tr.complete {
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
		// Operators stop the baseline once the store says so; until then it may serve again.
		tr.complete = true
		final := next
		final.State, final.Stored = canary.Complete, false
		ro.announce(tr, cur, &next, now)
		return &final
	}
	ro.announce(tr, cur, &next, now)
	return &next
}

// announce sends a decision to the others: at once where the share changes, else now and
// then.
func (ro *roller) announce(tr *trial, cur, next *canary.Rollout, now time.Time) {
	if next.Share == cur.Share && next.Servers == cur.Servers && now.Sub(tr.announced) < canary.TTL/3 {
		return
	}
	if next.Share != cur.Share {
		ro.nd.log.Info("rollout-share", slog.String(logs.Service, next.Order.Service), slog.Float64("share", next.Share), slog.Int("servers", next.Servers))
	}
	tr.announced = now
	ro.nd.mergeRollout(nil, next)
}

// write writes the state of a rollout, unless the store has an end of it already, which
// holds then.
func (ro *roller) write(ctx context.Context, tr *trial, cur *canary.Rollout) {
	nd := ro.nd
	next := *cur
	err := ro.swap(ctx, &next)
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
	tr.writing.Store(false)
}

// swap makes the store have a state. Where it has an end of the same order, that one is
// taken.
func (ro *roller) swap(ctx context.Context, next *canary.Rollout) error {
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

// put writes a value whatever the key had.
func put(ctx context.Context, kv store.Store, key string, value []byte) error {
	ch := store.Change{Key: key, Value: value}
	ok, cur, err := kv.Swap(ctx, ch)
	if err == nil && !ok {
		ch.Revision = cur.Revision
		_, _, err = kv.Swap(ctx, ch)
	}
	return err
}

// mergeRollout takes a statement on a rollout, of a peer or this daemon's own, and passes it
// on if it is news.
func (nd *Node) mergeRollout(from *link.Peer, ro *canary.Rollout) {
	news := false
	nd.Board.Rollouts.Update(func(vw *canary.View) *canary.View {
		var next *canary.View
		next, news = vw.Merge(ro)
		return next
	})
	if !news {
		return
	}
	nd.eachPeer(func(pr *link.Peer) {
		if pr != from {
			pr.SendRollout(ro)
		}
	})
}
