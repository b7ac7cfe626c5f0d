package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// The times of a link.
const (
	// Beat is the longest time without a packet from a living peer.
	Beat = time.Second
	// Silence is how long a peer may send nothing before the link is ended. A
	// frozen process keeps its connection open; only its silence shows it.
	//
	// It is below the three seconds after which a daemon whose connections went
	// silent without a reset must follow new versions again.
	Silence = 2500 * time.Millisecond
	// batchDelay is how long news waits for more of it before a packet is sent.
	batchDelay = 20 * time.Millisecond
	// bulkBatchDelay is how much longer it waits once many records wait, as when a fleet
	// starts: each daemon then hears of each other one in several statements, and a
	// packet for each of them is most of what the herd costs.
	bulkBatchDelay = 130 * time.Millisecond
)

// ErrSilent says that a peer sent nothing for the time Silence.
var ErrSilent = errors.New("link: the peer is silent")

// Stream is one side of an open stream.
type Stream struct {
	Send    func(*wirepb.Packet) error
	Receive func() (*wirepb.Packet, error)
	// Abort ends the stream at once, also while Send or Receive waits.
	Abort func()
}

// Peer is a daemon at the other end of a link.
type Peer struct {
	// Record and Relay are what the peer's last Hello said, Ready that there was
	// one. The owner of the peer guards them.
	Record *member.Record
	Relay  bool
	Ready  bool
	// Outgoing tells that this side opened the link.
	Outgoing bool
	// Addr is where the peer was reached, for an outgoing link.
	Addr string
	// Born is a moment at which the peer's process ran already, Proven that it was told
	// the newest version. The owner of the peer guards them.
	Born   time.Time
	Proven bool
	// Sent, if set, is told of each packet that was sent. It is set before Run.
	Sent func(pr *Peer, pk *wirepb.Packet)

	lastHeard atomic.Pointer[time.Time] // when the last packet came
	idleTimer atomic.Pointer[time.Timer]
	makeOffer func(pr *Peer, base pack.Digest) *wirepb.Version
	stream    Stream
	wake      chan struct{}

	mu sync.Mutex
	// version and digest are the newest that the peer is known to have.
	version uint64
	digest  pack.Digest
	// pending says that something waits to be sent, now that it must not wait
	// for more, offerPending that the newest version is to be offered.
	pending, sendNow, offerPending bool
	// What waits: the next packet and the newest of each kind.
	nextPacket *wirepb.Packet
	records    map[string]*member.Record
	held       map[string]*wirepb.Held
	summaries  map[string]*wirepb.Summary
	reach      map[string]*wirepb.Reach
	follows    map[string]Follow
	crashes    map[poison.Report]bool
	rollouts   map[string]*canary.Rollout
	tallies    map[tallyKey]*wirepb.Tally
}

// Follow says when the store answered a daemon that follows it, or that it no longer
// does.
type Follow struct {
	VM   string
	At   time.Time
	Lost bool
	// Version is what the store shows, Behind that a newer one is known.
	Version uint64
	Behind  bool
}

// New returns a peer. The function offer makes the version packet for a peer
// whose newest content is base, or nil if there is nothing newer.
func New(st Stream, makeOffer func(pr *Peer, base pack.Digest) *wirepb.Version) *Peer {
	return &Peer{stream: st, makeOffer: makeOffer, wake: make(chan struct{}, 1), nextPacket: &wirepb.Packet{}}
}

// Run sends and receives until the link ends, ctx ends or the peer is silent.
// It calls handle for each packet, one at a time.
func (pr *Peer) Run(ctx context.Context, handle func(*Peer, *wirepb.Packet)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, pr.stream.Abort)
	defer stop()
	idleTimer := time.AfterFunc(Silence, func() { cancel(ErrSilent) })
	defer idleTimer.Stop()
	pr.idleTimer.Store(idleTimer)
	var wg conc.WaitGroup
	wg.Go(func() { cancel(pr.sendLoop(ctx)) })
	for {
		pk, err := pr.stream.Receive()
		if err != nil {
			cancel(err)
			break
		}
		pr.Alive()
		handle(pr, pk)
	}
	wg.Wait()
	return context.Cause(ctx)
}

// Alive notes that the peer was heard, also on another stream: bytes of a large answer on the
// same connection hold up its packets.
func (pr *Peer) Alive() {
	if timer := pr.idleTimer.Load(); timer != nil {
		timer.Reset(Silence)
	}
	now := time.Now()
	pr.lastHeard.Store(&now)
}

// Heard returns when the last packet came, the zero time for none.
func (pr *Peer) Heard() time.Time {
	if at := pr.lastHeard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (pr *Peer) sendLoop(ctx context.Context) error {
	heartbeat := time.NewTimer(Beat)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
		case <-pr.wake:
			if !pr.isUrgent() {
				if err := sleep(ctx, batchDelay); err != nil {
					return err
				}
				if err := pr.waitForBulk(ctx); err != nil {
					return err
				}
			}
		}
		pk := pr.buildPacket()
		if err := pr.stream.Send(pk); err != nil {
			return err
		}
		if pr.Sent != nil {
			pr.Sent(pr, pk)
		}
		heartbeat.Reset(Beat)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitForBulk waits while many records wait and nothing that must not.
func (pr *Peer) waitForBulk(ctx context.Context) error {
	pr.mu.Lock()
	bulk := len(pr.records) >= packThreshold && !pr.sendNow && !pr.offerPending
	pr.mu.Unlock()
	if !bulk {
		return nil
	}
	return sleep(ctx, bulkBatchDelay)
}

func (pr *Peer) isUrgent() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.sendNow
}

// buildPacket takes all that waits into one packet.
func (pr *Peer) buildPacket() *wirepb.Packet {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pk := pr.nextPacket
	pr.nextPacket = &wirepb.Packet{}
	packRecords(pk, pr.records)
	for _, hd := range pr.held {
		pk.Held = append(pk.Held, hd)
	}
	for _, su := range pr.summaries {
		pk.Summaries = append(pk.Summaries, su)
	}
	for _, re := range pr.reach {
		pk.Reach = append(pk.Reach, re)
	}
	for _, fo := range pr.follows {
		age := max(0, time.Since(fo.At))
		pk.Follows = append(pk.Follows, &wirepb.Follow{Vm: fo.VM, AgeMs: uint64(age.Milliseconds()), Lost: fo.Lost, Version: fo.Version, Behind: fo.Behind})
	}
	pk.Ends = groupCrashes(pr.crashes, time.Now())
	pr.addRollouts(pk, time.Now())
	clear(pr.crashes)
	clear(pr.records)
	clear(pr.held)
	clear(pr.summaries)
	clear(pr.reach)
	clear(pr.follows)
	if pr.offerPending {
		pr.offerPending = false
		pk.Version = pr.makeOffer(pr, pr.digest)
		if vn := pk.Version; vn != nil {
			pr.version, pr.digest = vn.Number, pack.Digest(vn.Digest)
		}
	}
	pk.Beat = !pr.pending
	pr.pending, pr.sendNow = false, false
	return pk
}

// packThreshold is how many records are compressed together; fewer gain nothing.
const packThreshold = 8

// packRecords puts records into a packet, compressed where they are many.
func packRecords(pk *wirepb.Packet, records map[string]*member.Record) {
	var list []*wirepb.Record
	for _, rc := range records {
		list = append(list, rc.ToWire())
	}
	if len(list) < packThreshold {
		pk.Records = list
		return
	}
	raw, err := proto.Marshal(&wirepb.Packet{Records: list})
	if err != nil {
		pk.Records = list
		return
	}
	pk.PackedRecords = pack.Compress(raw)
}

// Records returns the records of a packet, in whichever way they were sent.
// Records that cannot be unpacked are left out; the exchange of hashes brings
// them again.
func Records(pk *wirepb.Packet) []*member.Record {
	list := pk.Records
	if len(pk.PackedRecords) > 0 {
		var packed wirepb.Packet
		raw, err := pack.Decompress(pk.PackedRecords)
		if err == nil && proto.Unmarshal(raw, &packed) == nil {
			list = append(list, packed.Records...)
		}
	}
	recs := make([]*member.Record, len(list))
	for i, pb := range list {
		recs[i] = member.FromWire(pb)
	}
	return recs
}

// enqueue applies fn to what waits and wakes the sender.
func (pr *Peer) enqueue(fn func()) {
	pr.mu.Lock()
	fn()
	pr.pending = true
	pr.mu.Unlock()
	select {
	case pr.wake <- struct{}{}:
	default:
	}
}

// Next changes the next packet; it is sent at once.
func (pr *Peer) Next(fn func(*wirepb.Packet)) {
	pr.enqueue(func() {
		fn(pr.nextPacket)
		pr.sendNow = true
	})
}

// Offer sends the newest version if the peer is not known to have it.
func (pr *Peer) Offer(latest uint64) {
	pr.mu.Lock()
	behind := pr.version < latest
	pr.mu.Unlock()
	if behind {
		pr.enqueue(func() { pr.offerPending = true })
	}
}

// Knows notes the newest version that the peer is known to have. What it
// already has, or was sent, is not offered again on this link.
func (pr *Peer) Knows(version uint64, digest pack.Digest) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if version > pr.version {
		pr.version, pr.digest = version, digest
	}
}

// SendRecords sends records, the newest one of each VM.
func (pr *Peer) SendRecords(list []*member.Record) {
	if len(list) == 0 {
		return
	}
	pr.enqueue(func() {
		if pr.records == nil {
			pr.records = map[string]*member.Record{}
		}
		for _, rc := range list {
			if cur := pr.records[rc.VM]; cur == nil || rc.Compare(cur) > 0 {
				pr.records[rc.VM] = rc
			}
		}
	})
}

// SendHeld sends what VMs hold, the newest statement of each.
func (pr *Peer) SendHeld(list ...*wirepb.Held) {
	pr.enqueue(func() {
		if pr.held == nil {
			pr.held = map[string]*wirepb.Held{}
		}
		for _, hd := range list {
			pr.held[hd.Vm] = hd
		}
	})
}

// SendSummary sends a summary, the newest one of each failure domain.
func (pr *Peer) SendSummary(su *wirepb.Summary) {
	pr.enqueue(func() {
		if pr.summaries == nil {
			pr.summaries = map[string]*wirepb.Summary{}
		}
		pr.summaries[su.Domain] = su
	})
}

// SendReach sends whether a failure domain can be reached.
func (pr *Peer) SendReach(re *wirepb.Reach) {
	pr.enqueue(func() {
		if pr.reach == nil {
			pr.reach = map[string]*wirepb.Reach{}
		}
		pr.reach[re.Domain] = re
	})
}

// SendFollow sends who follows the store, the newest statement of each: that one no
// longer does at once, all else with the next packet.
func (pr *Peer) SendFollow(fo Follow) {
	set := func() {
		if pr.follows == nil {
			pr.follows = map[string]Follow{}
		}
		pr.follows[fo.VM] = fo
	}
	if fo.Lost {
		pr.enqueue(set)
		return
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	set()
}
