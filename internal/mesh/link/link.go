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
	// HeartbeatInterval is the longest time without a packet from a living peer.
	HeartbeatInterval = time.Second
	// PeerTimeout is how long a peer may send nothing before the link is ended. A
	// frozen process keeps its connection open; only its silence shows it.
	//
	// It is below the three seconds after which a daemon whose connections went
	// silent without a reset must follow new versions again.
	PeerTimeout = 2500 * time.Millisecond
	// gather is how long news waits for more of it before a packet is sent.
	gather = 20 * time.Millisecond
	// gatherMany is how much longer it waits once many records wait, as when a fleet
	// starts: each daemon then hears of each other one in several statements, and a
	// packet for each of them is most of what the herd costs.
	gatherMany = 130 * time.Millisecond
)

// ErrPeerTimeout says that a peer sent nothing for the time Silence.
var ErrPeerTimeout = errors.New("link: the peer is silent")

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
	// RunningSince is a moment at which the peer's process ran already, Proven that it was told
	// the newest version. The owner of the peer guards them.
	RunningSince time.Time
	SentNewest   bool
	// OnSent, if set, is told of each packet that was sent. It is set before Run.
	OnSent func(pr *Peer, pk *wirepb.Packet)

	heard  atomic.Pointer[time.Time] // when the last packet came
	silent atomic.Pointer[time.Timer]
	offer  func(pr *Peer, base pack.Digest) *wirepb.Version
	stream Stream
	wake   chan struct{}

	mu sync.Mutex
	// version and digest are the newest that the peer is known to have.
	version uint64
	digest  pack.Digest
	// dirty says that something waits to be sent, now that it must not wait
	// for more, offerNext that the newest version is to be offered.
	dirty, now, offerNext bool
	// What waits: the next packet and the newest of each kind.
	next      *wirepb.Packet
	records   map[string]*member.Record
	held      map[string]*wirepb.Held
	summaries map[string]*wirepb.Summary
	reach     map[string]*wirepb.Reach
	follows   map[string]Follow
	ends      map[poison.Report]bool
	rollouts  map[string]*canary.Rollout
	tallies   map[tallyKey]*wirepb.Tally
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
func New(st Stream, offer func(pr *Peer, base pack.Digest) *wirepb.Version) *Peer {
	return &Peer{stream: st, offer: offer, wake: make(chan struct{}, 1), next: &wirepb.Packet{}}
}

// Run sends and receives until the link ends, ctx ends or the peer is silent.
// It calls handle for each packet, one at a time.
func (pr *Peer) Run(ctx context.Context, handle func(*Peer, *wirepb.Packet)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, pr.stream.Abort)
	defer stop()
	silent := time.AfterFunc(PeerTimeout, func() { cancel(ErrPeerTimeout) })
	defer silent.Stop()
	pr.silent.Store(silent)
	var wg conc.WaitGroup
	wg.Go(func() { cancel(pr.sendAll(ctx)) })
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

// MarkAlive notes that the peer was heard, also on another stream: bytes of a large answer on the
// same connection hold up its packets.
func (pr *Peer) MarkAlive() {
	if silent := pr.silent.Load(); silent != nil {
		silent.Reset(PeerTimeout)
	}
	now := time.Now()
	pr.heard.Store(&now)
}

// LastHeard returns when the last packet came, the zero time for none.
func (pr *Peer) LastHeard() time.Time {
	if at := pr.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (pr *Peer) sendAll(ctx context.Context) error {
	beat := time.NewTimer(HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
		case <-pr.wake:
			if !pr.urgent() {
				if err := sleep(ctx, gather); err != nil {
					return err
				}
				if err := pr.waitForMore(ctx); err != nil {
					return err
				}
			}
		}
		pk := pr.compose()
		if err := pr.stream.Send(pk); err != nil {
			return err
		}
		if pr.OnSent != nil {
			pr.OnSent(pr, pk)
		}
		beat.Reset(HeartbeatInterval)
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

// waitForMore waits while many records wait and nothing that must not.
func (pr *Peer) waitForMore(ctx context.Context) error {
	pr.mu.Lock()
	many := len(pr.records) >= packMany && !pr.now && !pr.offerNext
	pr.mu.Unlock()
	if !many {
		return nil
	}
	return sleep(ctx, gatherMany)
}

func (pr *Peer) urgent() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.now
}

// compose takes all that waits into one packet.
func (pr *Peer) compose() *wirepb.Packet {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pk := pr.next
	pr.next = &wirepb.Packet{}
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
	pk.Ends = packEnds(pr.ends, time.Now())
	pr.packRolls(pk, time.Now())
	clear(pr.ends)
	clear(pr.records)
	clear(pr.held)
	clear(pr.summaries)
	clear(pr.reach)
	clear(pr.follows)
	if pr.offerNext {
		pr.offerNext = false
		pk.Version = pr.offer(pr, pr.digest)
		if vn := pk.Version; vn != nil {
			pr.version, pr.digest = vn.Number, pack.Digest(vn.Digest)
		}
	}
	pk.Beat = !pr.dirty
	pr.dirty, pr.now = false, false
	return pk
}

// packMany is how many records are compressed together; fewer gain nothing.
const packMany = 8

// packRecords puts records into a packet, compressed where they are many.
func packRecords(pk *wirepb.Packet, records map[string]*member.Record) {
	var list []*wirepb.Record
	for _, rc := range records {
		list = append(list, rc.ToWire())
	}
	if len(list) < packMany {
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

// change applies fn to what waits and wakes the sender.
func (pr *Peer) change(fn func()) {
	pr.mu.Lock()
	fn()
	pr.dirty = true
	pr.mu.Unlock()
	select {
	case pr.wake <- struct{}{}:
	default:
	}
}

// UpdateNext changes the next packet; it is sent at once.
func (pr *Peer) UpdateNext(fn func(*wirepb.Packet)) {
	pr.change(func() {
		fn(pr.next)
		pr.now = true
	})
}

// Offer sends the newest version if the peer is not known to have it.
func (pr *Peer) Offer(latest uint64) {
	pr.mu.Lock()
	behind := pr.version < latest
	pr.mu.Unlock()
	if behind {
		pr.change(func() { pr.offerNext = true })
	}
}

// RecordVersion notes the newest version that the peer is known to have. What it
// already has, or was sent, is not offered again on this link.
func (pr *Peer) RecordVersion(version uint64, digest pack.Digest) {
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
	pr.change(func() {
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
	pr.change(func() {
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
	pr.change(func() {
		if pr.summaries == nil {
			pr.summaries = map[string]*wirepb.Summary{}
		}
		pr.summaries[su.Domain] = su
	})
}

// SendReach sends whether a failure domain can be reached.
func (pr *Peer) SendReach(re *wirepb.Reach) {
	pr.change(func() {
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
		pr.change(set)
		return
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	set()
}
