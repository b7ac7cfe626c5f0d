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

// Timing of a link.
const (
	// HeartbeatInterval is the longest time between two packets from a live peer.
	HeartbeatInterval = time.Second
	// PeerTimeout is how long a peer may send nothing before the link is closed. A suspended
	// process keeps its connections open, so it can be detected only by the lack of packets.
	//
	// It is below the 3 s within which a daemon whose connections went silent without a reset
	// has to follow new versions again.
	PeerTimeout = 2500 * time.Millisecond
	// batchDelay is how long data waits for more data before a packet is sent.
	batchDelay = 20 * time.Millisecond
	// bulkBatchDelay is the additional delay while many records are pending, as when a fleet
	// starts. Each daemon then receives several records of every other daemon, and one packet
	// per record would be most of the cost of the start.
	bulkBatchDelay = 130 * time.Millisecond
)

// ErrPeerTimeout means that a peer sent nothing for PeerTimeout.
var ErrPeerTimeout = errors.New("link: no packet from the peer within the timeout")

// Stream is one side of an open stream.
type Stream struct {
	Send    func(*wirepb.Packet) error
	Receive func() (*wirepb.Packet, error)
	// Abort closes the stream immediately, even while Send or Receive is blocked.
	Abort func()
}

// Peer is the daemon at the other end of a link.
type Peer struct {
	// Record and Relay are the values of the peer's last Hello; Ready is set once there was
	// one. The owner of the Peer synchronizes access to them.
	Record *member.Record
	Relay  bool
	Ready  bool
	// Outgoing reports whether this daemon opened the link.
	Outgoing bool
	// Addr is the address of the peer, for an outgoing link.
	Addr string
	// RunningSince is a time at which the peer's process was already running. SentNewest is set
	// once the peer was sent the number of the newest version in the store. The owner of the Peer
	// synchronizes access to them.
	RunningSince time.Time
	SentNewest   bool
	// OnSent, if set, is called after each packet that was sent. It is set before Run.
	OnSent func(pr *Peer, pk *wirepb.Packet)

	lastHeard atomic.Pointer[time.Time] // when data was last received
	idleTimer atomic.Pointer[time.Timer]
	makeOffer func(pr *Peer, base pack.Digest) *wirepb.Version
	stream    Stream
	wake      chan struct{}

	mu sync.Mutex
	// version and digest identify the newest version that the peer is known to have.
	version uint64
	digest  pack.Digest
	// pending is set if the sender was woken to send data, sendNow if the data must not be
	// batched, and offerPending if the newest version is to be offered.
	pending, sendNow, offerPending bool
	// Pending data: the next packet, and the newest value of each kind.
	nextPacket *wirepb.Packet
	records    map[string]*member.Record
	held       map[string]*wirepb.Held
	summaries  map[string]*wirepb.Summary
	reach      map[string]*wirepb.Reach
	follows    map[string]Follow
	crashes    map[poison.Report]bool
	rollouts   map[string]*canary.Rollout
	tallies    map[tallyKey]*wirepb.Tally
	usages     map[string]*wirepb.Usage
}

// Follow is an announcement that a daemon follows the store or, if Lost is set, that the store no
// longer answers it.
type Follow struct {
	VM string
	// At is the time of the store's last answer or of the loss.
	At   time.Time
	Lost bool
	// Version is the version that the store shows; Behind is set if a newer one is known.
	Version uint64
	Behind  bool
}

// New returns a peer. makeOffer returns the version message for a peer whose newest content is
// base, or nil if there is nothing newer.
func New(st Stream, makeOffer func(pr *Peer, base pack.Digest) *wirepb.Version) *Peer {
	return &Peer{stream: st, makeOffer: makeOffer, wake: make(chan struct{}, 1), nextPacket: &wirepb.Packet{}}
}

// Run sends and receives packets until the link breaks, ctx is done or the peer times out. It
// calls handle for each received packet, one at a time.
func (pr *Peer) Run(ctx context.Context, handle func(*Peer, *wirepb.Packet)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, pr.stream.Abort)
	defer stop()
	idleTimer := time.AfterFunc(PeerTimeout, func() { cancel(ErrPeerTimeout) })
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
		pr.MarkAlive()
		handle(pr, pk)
	}
	wg.Wait()
	return context.Cause(ctx)
}

// MarkAlive records that data of the peer was received and restarts its timeout. It is also called
// for data on other streams, since a large response on the same connection delays the packets.
func (pr *Peer) MarkAlive() {
	if timer := pr.idleTimer.Load(); timer != nil {
		timer.Reset(PeerTimeout)
	}
	now := time.Now()
	pr.lastHeard.Store(&now)
}

// LastHeard returns when data of the peer was last received, or the zero time if none was.
func (pr *Peer) LastHeard() time.Time {
	if at := pr.lastHeard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (pr *Peer) sendLoop(ctx context.Context) error {
	heartbeat := time.NewTimer(HeartbeatInterval)
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
		if pr.OnSent != nil {
			pr.OnSent(pr, pk)
		}
		heartbeat.Reset(HeartbeatInterval)
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

// waitForBulk waits for bulkBatchDelay if many records are pending and nothing urgent is.
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

// buildPacket moves all pending data to a packet.
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
	pr.addUsages(pk)
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

// packThreshold is the number of records from which they are compressed; with fewer records
// compression saves nothing.
const packThreshold = 8

// packRecords adds records to a packet, compressed if there are at least packThreshold.
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

// Records returns the records of a packet, whether they were compressed or not. It skips records
// that cannot be decompressed; they are sent again after the next exchange of hashes.
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

// enqueue calls fn to change the pending data, and wakes the sender.
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

// UpdateNext calls fn to change the next packet, which is sent without delay.
func (pr *Peer) UpdateNext(fn func(*wirepb.Packet)) {
	pr.enqueue(func() {
		fn(pr.nextPacket)
		pr.sendNow = true
	})
}

// Offer sends the latest version unless the peer is known to have it.
func (pr *Peer) Offer(latest uint64) {
	pr.mu.Lock()
	behind := pr.version < latest
	pr.mu.Unlock()
	if behind {
		pr.enqueue(func() { pr.offerPending = true })
	}
}

// RecordVersion records the newest version that the peer has. A version that the peer has, or
// was sent, is not offered again on this link.
func (pr *Peer) RecordVersion(version uint64, digest pack.Digest) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if version > pr.version {
		pr.version, pr.digest = version, digest
	}
}

// SendRecords sends membership records. Only the newest record of each VM is kept.
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

// SendHeld sends which versions VMs hold. Only the last message for each VM is kept.
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

// SendSummary sends a summary. Only the last summary of each failure domain is kept.
func (pr *Peer) SendSummary(su *wirepb.Summary) {
	pr.enqueue(func() {
		if pr.summaries == nil {
			pr.summaries = map[string]*wirepb.Summary{}
		}
		pr.summaries[su.Domain] = su
	})
}

// SendReach sends whether a failure domain is reachable.
func (pr *Peer) SendReach(re *wirepb.Reach) {
	pr.enqueue(func() {
		if pr.reach == nil {
			pr.reach = map[string]*wirepb.Reach{}
		}
		pr.reach[re.Domain] = re
	})
}

// SendFollow sends an announcement. Only the last one of each daemon is kept. A loss wakes the
// sender; any other announcement travels with the next packet.
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
