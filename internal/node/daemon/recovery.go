package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/node/server"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The times of what outlives the process.
const (
	// recoveryTimeout bounds the wait of a new process for what its forerunner
	// acknowledged: peers are linked within a second, and who has nobody to ask
	// must not keep its backend server idle.
	recoveryTimeout = 4 * time.Second
	// firstPeerTimeout is how long it waits for a peer once the store has answered.
	firstPeerTimeout = 1500 * time.Millisecond
	// secondPeerTimeout is how long it waits for a second peer after the first knew of
	// nothing. A plain member has one link only, so there may be no second.
	secondPeerTimeout = 400 * time.Millisecond
	// requiredEmptyAnswers is how many peers that know of nothing are believed. News
	// reaches peers some milliseconds apart, or later under load, so the first
	// one to answer may not have heard of a drain that was acknowledged.
	requiredEmptyAnswers = 2
	// departureTTL is how long the store keeps that a lifetime leaves. A server
	// ends within some tens of seconds after it said so.
	departureTTL = time.Minute
	// storeTimeout bounds the wait of an acknowledgement for the store, and is the
	// pause before a failed write or read is tried again. A server takes an
	// answer only within a second.
	storeTimeout = 400 * time.Millisecond
)

// closeWhenDraining is what the store keeps of a start of the backend server that leaves.
type storedDeparture struct {
	Lifetime  string `json:"lifetime"`
	StartedMs int64  `json:"started-ms,omitempty"`
	Number    uint64 `json:"number"`
	// expiresAt is how long the store is to keep it.
	expiresAt time.Time
	// stored is closed once it was written, in the epoch of the store given.
	stored chan struct{}
	epoch  store.Epoch
}

func (dm *Daemon) departureKey() string { return "leaving/" + dm.se.VM }

// recordDeparture stops new requests for the server before it returns, and writes
// down that the lifetime leaves. Without it, a process that replaces this one
// could take an announcement from before the drain that comes late, and send
// requests to a server that was told that none will come. The peers hear it at
// once in the daemon's record; the store is for a herd that ends together, and
// for a peer that has not heard of it. A write that takes longer than the
// acknowledgement may wait goes on after it.
func (dm *Daemon) recordDeparture(ctx context.Context, de member.Leaver) {
	dm.Inlet.ServerLeaves()
	dm.configureLimiter(dm.Node.Board.Held.Get(), server.Status{Leaving: true})
	sd := &storedDeparture{Lifetime: de.Lifetime, StartedMs: de.StartedMs, Number: de.At, expiresAt: time.Now().Add(departureTTL), stored: make(chan struct{})}
	dm.departure.Set(sd)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	stored := false
	select {
	case <-sd.stored:
		stored = true
	case <-ctx.Done():
	}
	dm.log.Info("server-leaves", slog.String("lifetime", de.Lifetime), slog.Int64("started", de.StartedMs),
		slog.Uint64("number", de.At), slog.Bool("stored", stored))
}

// runStoreDeparture writes down the newest lifetime that leaves, again until the store
// has it or its time there would be over, and once more in each new epoch of the store,
// which may have lost it.
func (dm *Daemon) runStoreDeparture(ctx context.Context) {
	for ctx.Err() == nil {
		sd, changed := dm.departure.Watch()
		_, epochChanged := dm.Node.Board.Epoch.Watch()
		if sd != nil {
			dm.storeDeparture(ctx, sd, changed)
		}
		select {
		case <-changed:
		case <-epochChanged:
		case <-ctx.Done():
		}
	}
}

// storeDeparture writes lv until that succeeds, a newer one has come, or ctx ends.
func (dm *Daemon) storeDeparture(ctx context.Context, sd *storedDeparture, newer <-chan struct{}) {
	ctx, cancel := context.WithDeadline(ctx, sd.expiresAt)
	defer cancel()
	for ctx.Err() == nil {
		if sd.epoch != 0 && sd.epoch >= dm.Node.Board.KnownEpoch() {
			return
		}
		epoch, err := dm.writeDeparture(ctx, sd)
		if err == nil {
			if sd.epoch == 0 {
				close(sd.stored)
			}
			sd.epoch = max(1, epoch)
			continue
		}
		dm.log.Info("leaving-not-stored", slog.String("lifetime", sd.Lifetime), slog.Any("error", err))
		select {
		case <-newer:
			return
		case <-ctx.Done():
		case <-time.After(storeTimeout):
		}
	}
}

// writeDeparture writes lv, and returns the epoch of the store in which it did.
func (dm *Daemon) writeDeparture(ctx context.Context, sd *storedDeparture) (store.Epoch, error) {
	value, err := json.Marshal(sd)
	if err != nil {
		return 0, err
	}
	kv := dm.store
	id, err := kv.Grant(ctx, departureTTL)
	if err != nil {
		return 0, err
	}
	ch := store.Change{Key: dm.departureKey(), Value: value, Lease: id}
	ok, cur, err := kv.Swap(ctx, ch)
	if err == nil && !ok {
		ch.Revision = cur.Revision
		ok, _, err = kv.Swap(ctx, ch)
	}
	if err == nil && !ok {
		// A late write of a former process came between, twice.
		err = errOverwritten
	}
	return id.Epoch, err
}

var errOverwritten = errors.New("the key was written by another process")

// runRecovery learns what a former process of the VM acknowledged, from the store
// and from peers, and then lets the backend server take requests. It goes on
// listening to peers: one may be linked late.
func (dm *Daemon) runRecovery(ctx context.Context) {
	began := time.Now()
	if !dm.se.FirstStart {
		dm.recoverFromPredecessor(ctx)
	}
	dm.local.mu.Lock()
	dm.local.recovered = true
	dm.local.mu.Unlock()
	close(dm.local.recoveryDone)
	dm.local.notify()
	dm.log.Info("recalled", slog.Duration("took", time.Since(began)))
	for ctx.Err() == nil {
		pr, changed := dm.Node.Board.Forerunner.Watch()
		dm.recoverFromPeers(pr)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recoverFromPredecessor asks the store and waits for peers. At the first start of a mesh there is
// nobody to ask about, and hundreds of calls to the store tell nothing.
func (dm *Daemon) recoverFromPredecessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	storeRead := make(chan struct{})
	go func() {
		defer close(storeRead)
		dm.recoverFromStore(ctx)
	}()
	dm.waitForPeers(ctx, storeRead)
	cancel()
	<-storeRead
}

// recoverFromPeers takes what peers keep of the former process.
func (dm *Daemon) recoverFromPeers(pr *board.Forerunner) {
	if pr == nil || pr.Lifetime == "" {
		return
	}
	dm.local.update(func(tr *server.Tracker) { tr.RecoverDeparture(pr.Leaver, time.Now()) })
}

// waitForPeers waits for the peers' word on the former process, until the
// store has answered and one of these holds: a peer knows of a drain, enough
// peers know of none, or no more are expected.
func (dm *Daemon) waitForPeers(ctx context.Context, storeRead <-chan struct{}) {
	timeout := time.NewTimer(firstPeerTimeout)
	defer timeout.Stop()
	stored, timedOut, answered := false, false, false
	for {
		pr, changed := dm.Node.Board.Forerunner.Watch()
		dm.recoverFromPeers(pr)
		if pr != nil && !answered {
			answered = true
			timeout.Reset(secondPeerTimeout)
		}
		enough := pr != nil && (pr.Lifetime != "" || len(pr.Peers) >= requiredEmptyAnswers)
		if stored && (enough || timedOut) {
			return
		}
		select {
		case <-changed:
		case <-storeRead:
			stored, storeRead = true, nil
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return
		}
	}
}

// recoverFromStore reads what the store keeps, again until it answers.
func (dm *Daemon) recoverFromStore(ctx context.Context) {
	for ctx.Err() == nil {
		ent, err := dm.store.Get(ctx, dm.departureKey())
		if err != nil {
			dm.log.Info("recall-failed", slog.Any("error", err))
			select {
			case <-ctx.Done():
			case <-time.After(storeTimeout):
			}
			continue
		}
		de, err := parseDeparture(ent.Value)
		if err != nil {
			dm.log.Error("recall-unreadable", slog.String("key", dm.departureKey()), slog.Any("error", err))
		}
		dm.local.update(func(tr *server.Tracker) { tr.RecoverDeparture(de, time.Now()) })
		return
	}
}

// parseDeparture reads what the store keeps of a lifetime that leaves; an empty value is
// none. Of one that cannot be read nothing is taken: half of it may name the server that
// serves.
func parseDeparture(value []byte) (member.Leaver, error) {
	if len(value) == 0 {
		return member.Leaver{}, nil
	}
	var sd storedDeparture
	if err := json.Unmarshal(value, &sd); err != nil {
		return member.Leaver{}, err
	}
	return member.Leaver{Lifetime: sd.Lifetime, StartedMs: sd.StartedMs, At: sd.Number}, nil
}
