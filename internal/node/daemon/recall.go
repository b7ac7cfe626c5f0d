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
	// recallTime bounds the wait of a new process for what its forerunner
	// acknowledged: peers are linked within a second, and who has nobody to ask
	// must not keep its backend server idle.
	recallTime = 4 * time.Second
	// recallPeers is how long it waits for a peer once the store has answered.
	recallPeers = 1500 * time.Millisecond
	// recallMore is how long it waits for a second peer after the first knew of
	// nothing. A plain member has one link only, so there may be no second.
	recallMore = 400 * time.Millisecond
	// recallEnough is how many peers that know of nothing are believed. News
	// reaches peers some milliseconds apart, or later under load, so the first
	// one to answer may not have heard of a drain that was acknowledged.
	recallEnough = 2
	// leavingTTL is how long the store keeps that a lifetime leaves. A server
	// ends within some tens of seconds after it said so.
	leavingTTL = time.Minute
	// recordTime bounds the wait of an acknowledgement for the store, and is the
	// pause before a failed write or read is tried again. A server takes an
	// answer only within a second.
	recordTime = 400 * time.Millisecond
)

// leaving is what the store keeps of a start of the backend server that leaves.
type leaving struct {
	Lifetime  string `json:"lifetime"`
	StartedMs int64  `json:"started-ms,omitempty"`
	Number    uint64 `json:"number"`
	// until is how long the store is to keep it.
	until time.Time
	// stored is closed once it was written, in the epoch of the store given.
	stored chan struct{}
	epoch  store.Epoch
}

func (dm *Daemon) leavingKey() string { return "leaving/" + dm.se.VM }

// recordLeaving stops new requests for the server before it returns, and writes
// down that the lifetime leaves. Without it, a process that replaces this one
// could take an announcement from before the drain that comes late, and send
// requests to a server that was told that none will come. The peers hear it at
// once in the daemon's record; the store is for a herd that ends together, and
// for a peer that has not heard of it. A write that takes longer than the
// acknowledgement may wait goes on after it.
func (dm *Daemon) recordLeaving(ctx context.Context, left member.Departure) {
	dm.Inlet.ServerLeaving()
	dm.setGate(dm.Node.Board.Held.Get(), server.Status{Leaving: true})
	lv := &leaving{Lifetime: left.Lifetime, StartedMs: left.StartedMs, Number: left.Number, until: time.Now().Add(leavingTTL), stored: make(chan struct{})}
	dm.leaver.Set(lv)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	stored := false
	select {
	case <-lv.stored:
		stored = true
	case <-ctx.Done():
	}
	dm.log.Info("server-leaves", slog.String("lifetime", left.Lifetime), slog.Int64("started", left.StartedMs),
		slog.Uint64("number", left.Number), slog.Bool("stored", stored))
}

// runLeaving writes down the newest lifetime that leaves, again until the store
// has it or its time there would be over, and once more in each new epoch of the store,
// which may have lost it.
func (dm *Daemon) runLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		lv, changed := dm.leaver.Watch()
		_, entered := dm.Node.Board.Epoch.Watch()
		if lv != nil {
			dm.storeLeaving(ctx, lv, changed)
		}
		select {
		case <-changed:
		case <-entered:
		case <-ctx.Done():
		}
	}
}

// storeLeaving writes lv until that succeeds, a newer one has come, or ctx ends.
func (dm *Daemon) storeLeaving(ctx context.Context, lv *leaving, newer <-chan struct{}) {
	ctx, cancel := context.WithDeadline(ctx, lv.until)
	defer cancel()
	for ctx.Err() == nil {
		if lv.epoch != 0 && lv.epoch >= dm.Node.Board.KnownEpoch() {
			return
		}
		epoch, err := dm.writeLeaving(ctx, lv)
		if err == nil {
			if lv.epoch == 0 {
				close(lv.stored)
			}
			lv.epoch = max(1, epoch)
			continue
		}
		dm.log.Info("leaving-not-stored", slog.String("lifetime", lv.Lifetime), slog.Any("error", err))
		select {
		case <-newer:
			return
		case <-ctx.Done():
		case <-time.After(recordTime):
		}
	}
}

// writeLeaving writes lv, and returns the epoch of the store in which it did.
func (dm *Daemon) writeLeaving(ctx context.Context, lv *leaving) (store.Epoch, error) {
	value, err := json.Marshal(lv)
	if err != nil {
		return 0, err
	}
	kv := dm.store
	id, err := kv.Grant(ctx, leavingTTL)
	if err != nil {
		return 0, err
	}
	ch := store.Change{Key: dm.leavingKey(), Value: value, Lease: id}
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

// runRecall learns what a former process of the VM acknowledged, from the store
// and from peers, and then lets the backend server take requests. It goes on
// listening to peers: one may be linked late.
func (dm *Daemon) runRecall(ctx context.Context) {
	began := time.Now()
	if !dm.se.FirstStart {
		dm.recoverFromPredecessor(ctx)
	}
	dm.local.mu.Lock()
	dm.local.recalled = true
	dm.local.mu.Unlock()
	close(dm.local.known)
	dm.local.poke()
	dm.log.Info("recalled", slog.Duration("took", time.Since(began)))
	for ctx.Err() == nil {
		fo, changed := dm.Node.Board.Predecessor.Watch()
		dm.recall(fo)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recoverFromPredecessor asks the store and waits for peers. At the first start of a mesh there is
// nobody to ask about, and hundreds of calls to the store tell nothing.
func (dm *Daemon) recoverFromPredecessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		dm.recallStored(ctx)
	}()
	dm.waitForPeers(ctx, asked)
	cancel()
	<-asked
}

// recall takes what peers keep of the former process.
func (dm *Daemon) recall(fo *board.Predecessor) {
	if fo == nil || fo.Lifetime == "" {
		return
	}
	dm.local.update(func(tr *server.Tracker) { tr.Recall(fo.Departure, time.Now()) })
}

// waitForPeers waits for the peers' word on the former process, until the
// store has answered and one of these holds: a peer knows of a drain, enough
// peers know of none, or no more are expected.
func (dm *Daemon) waitForPeers(ctx context.Context, asked <-chan struct{}) {
	late := time.NewTimer(recallPeers)
	defer late.Stop()
	stored, over, answered := false, false, false
	for {
		fo, changed := dm.Node.Board.Predecessor.Watch()
		dm.recall(fo)
		if fo != nil && !answered {
			answered = true
			late.Reset(recallMore)
		}
		known := fo != nil && (fo.Lifetime != "" || len(fo.Peers) >= recallEnough)
		if stored && (known || over) {
			return
		}
		select {
		case <-changed:
		case <-asked:
			stored, asked = true, nil
		case <-late.C:
			over = true
		case <-ctx.Done():
			return
		}
	}
}

// recallStored reads what the store keeps, again until it answers.
func (dm *Daemon) recallStored(ctx context.Context) {
	for ctx.Err() == nil {
		ent, err := dm.store.Get(ctx, dm.leavingKey())
		if err != nil {
			dm.log.Info("recall-failed", slog.Any("error", err))
			select {
			case <-ctx.Done():
			case <-time.After(recordTime):
			}
			continue
		}
		left, err := readLeaving(ent.Value)
		if err != nil {
			dm.log.Error("recall-unreadable", slog.String("key", dm.leavingKey()), slog.Any("error", err))
		}
		dm.local.update(func(tr *server.Tracker) { tr.Recall(left, time.Now()) })
		return
	}
}

// readLeaving reads what the store keeps of a lifetime that leaves; an empty value is
// none. Of one that cannot be read nothing is taken: half of it may name the server that
// serves.
func readLeaving(value []byte) (member.Departure, error) {
	if len(value) == 0 {
		return member.Departure{}, nil
	}
	var lv leaving
	if err := json.Unmarshal(value, &lv); err != nil {
		return member.Departure{}, err
	}
	return member.Departure{Lifetime: lv.Lifetime, StartedMs: lv.StartedMs, Number: lv.Number}, nil
}
