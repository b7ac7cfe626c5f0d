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

// The time limits for storing and recovering the state that outlives the process.
const (
	// recoveryTimeout bounds how long a new process waits for the state that its predecessor
	// acknowledged. Peers are linked within a second, and a daemon without peers must not keep its
	// backend server idle.
	recoveryTimeout = 4 * time.Second
	// firstPeerTimeout is how long it waits for a first peer. The wait for the store may be longer.
	firstPeerTimeout = 1500 * time.Millisecond
	// secondPeerTimeout is how long it waits for a second peer after the first knew of no
	// departure. A member that is not a relay has one link only, so there may be no second peer.
	secondPeerTimeout = 400 * time.Millisecond
	// requiredEmptyAnswers is how many peers have to report no departure before there is taken to be
	// none. Updates reach peers some milliseconds apart, or later under load, so the first peer to
	// answer may not have heard of a drain that was acknowledged.
	requiredEmptyAnswers = 2
	// departureTTL is how long the store keeps a departure. A server ends within some tens of
	// seconds after it has announced that it is leaving.
	departureTTL = time.Minute
	// storeTimeout bounds how long an acknowledgement waits for the store, and is the pause before
	// a failed write or read is retried. A backend server accepts a response only within a second.
	storeTimeout = 400 * time.Millisecond
)

// storedDeparture is what the store keeps of a departure: an instance of the backend server that
// has announced that it is leaving.
type storedDeparture struct {
	Lifetime  string `json:"lifetime"`
	StartedMs int64  `json:"started-ms,omitempty"`
	Number    uint64 `json:"number"`
	// expiresAt is when the store may drop it.
	expiresAt time.Time
	// stored is closed after the first successful write. epoch is the store's epoch at the last
	// one, 0 before that.
	stored chan struct{}
	epoch  store.Epoch
}

func (dm *Daemon) departureKey() string { return "leaving/" + dm.se.VM }

// recordDeparture stops new requests for the server before it returns, and stores that the instance
// is leaving. Otherwise a process that replaces this one could accept a delayed announcement from
// before the drain, and send requests to a server that was told to expect none. Peers learn of the
// departure at once from the daemon's record; the store is for daemons that all end together, and
// for peers that have not heard of it. A write that takes longer than storeTimeout continues in the
// background.
func (dm *Daemon) recordDeparture(ctx context.Context, de member.Departure) {
	sd := dm.startDeparture(de)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	stored := false
	select {
	case <-sd.stored:
		stored = true
	case <-ctx.Done():
	}
	dm.log.Info("server-leaves", slog.String("lifetime", de.Lifetime), slog.Int64("started", de.StartedMs),
		slog.Uint64("number", de.Number), slog.Bool("stored", stored))
}

// startDeparture stops new requests for the server and begins to store that it is leaving.
func (dm *Daemon) startDeparture(de member.Departure) *storedDeparture {
	dm.Inlet.ServerLeaving()
	dm.configureLimiter(dm.Node.Board.Held.Get(), server.Status{Leaving: true})
	sd := &storedDeparture{Lifetime: de.Lifetime, StartedMs: de.StartedMs, Number: de.Number, expiresAt: time.Now().Add(departureTTL), stored: make(chan struct{})}
	dm.departure.Set(sd)
	return sd
}

// runStoreDeparture stores the newest departure. It retries until the store has it or it would have
// expired there, and writes it again in each new epoch of the store, which may have lost it.
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

// storeDeparture writes sd until the store has it in the newest known epoch, a newer departure
// arrives, or ctx ends.
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

// writeDeparture writes sd and returns the epoch of the store in which it was written.
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
		// Delayed writes of a predecessor came in between, twice.
		err = errOverwritten
	}
	return id.Epoch, err
}

var errOverwritten = errors.New("the key was written by another process")

// runRecovery recovers what the predecessor acknowledged, from the store and from peers, and then
// lets the backend server receive requests. It continues to apply what peers report, as one may be
// linked late.
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
		pr, changed := dm.Node.Board.Predecessor.Watch()
		dm.recoverFromPeers(pr)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recoverFromPredecessor reads the store and waits for peers. It is skipped at the first start of a
// mesh, when there is no predecessor and hundreds of calls to the store would return nothing.
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

// recoverFromPeers applies the departure that peers keep of the predecessor.
func (dm *Daemon) recoverFromPeers(pr *board.Predecessor) {
	if pr == nil || pr.Lifetime == "" {
		return
	}
	dm.local.update(func(tr *server.Tracker) { tr.RecoverDeparture(pr.Departure, time.Now()) })
}

// waitForPeers waits for peers' answers about the predecessor, until the store has been read and
// one of these holds: a peer knows of a departure, enough peers know of none, or no more answers
// are expected.
func (dm *Daemon) waitForPeers(ctx context.Context, storeRead <-chan struct{}) {
	timeout := time.NewTimer(firstPeerTimeout)
	defer timeout.Stop()
	stored, timedOut, answered := false, false, false
	for {
		pr, changed := dm.Node.Board.Predecessor.Watch()
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

// recoverFromStore reads the departure from the store, and retries until the store answers.
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

// parseDeparture parses a stored departure; an empty value is none. A value that cannot be parsed
// is rejected as a whole, as a part of it might name the server that serves.
func parseDeparture(value []byte) (member.Departure, error) {
	if len(value) == 0 {
		return member.Departure{}, nil
	}
	var sd storedDeparture
	if err := json.Unmarshal(value, &sd); err != nil {
		return member.Departure{}, err
	}
	return member.Departure{Lifetime: sd.Lifetime, StartedMs: sd.StartedMs, Number: sd.Number}, nil
}
