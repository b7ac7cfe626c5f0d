package ctrl

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/expire"
	"github.com/flamingomast/flamingomast/internal/mesh/follow"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Protocol is the version of the link messages, sent in each Hello.
const Protocol = 1

// Config holds the identity of a daemon and the functions and addresses with which it reaches
// others.
type Config struct {
	VM, Domain string
	// Control and Inlet are the addresses (host:port) at which other daemons reach this one.
	Control, Inlet string
	// Capacity is the bandwidth of the VM's network link in Mbit/s, 0 if unknown. It influences
	// which daemons are chosen as relays.
	Capacity uint32
	// Seeds are addresses of daemons to try before the platform has been queried.
	Seeds []string
	// Token is a secret shared by all daemons of the mesh; empty for none.
	Token string
	Store store.Store
	// OnNewEpoch, if set, is called when the store is seen in a new epoch, by this daemon or by a
	// peer. The store is then known to answer again, so that calls need not be held back.
	OnNewEpoch func()
	// FirstStart says that the whole mesh starts for the first time.
	FirstStart bool
	// Source says where the store keeps the operators' versions; the zero value selects the head
	// key written by package accept.
	Source Source
	Log    *slog.Logger
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Compile builds the snapshot of a version; nil means a snap.Compiler.
	Compile func(version uint64, co *pack.Content, domain string) (*snap.Snapshot, error)
	// Counts returns the request counts of the VM's backend server; nil if there is none.
	Counts func() Counts
	// Quota connects the VM's outlet; the zero value means that it does not count requests.
	Quota Quota
	// Drain makes the inlet refuse new requests and returns how many are still running.
	Drain func() int
}

// Source describes where the operators' newest version is stored.
type Source struct {
	// Key is the store key that changes with each version.
	Key string
	// Read decodes a version from the key's value; known is the newest known version, or nil. The
	// content is nil if the version is not newer than known.
	Read func(ctx context.Context, kv store.Store, known *board.Config, value []byte) (uint64, *pack.Content, error)
	// Linearizable says that a read returns every version ever accepted, unless the store was
	// restored from an older copy. Such a read determines the version floor of a new process.
	Linearizable bool
	// RoutesOnly says that a service is reached by declared routes only, not by its name as the host.
	RoutesOnly bool
	// Restore rewrites a version that the store has lost; nil if the writer of versions does this
	// itself. Several daemons may call it concurrently and repeatedly.
	Restore func(ctx context.Context, kv store.Store, cfg *board.Config) error
	// Rollouts says where rollout orders are stored; the zero value means there are none.
	Rollouts Rollouts
}

// defaultSource reads the head key written by package accept, and the content stored next to it.
func defaultSource() Source {
	read := func(ctx context.Context, kv store.Store, known *board.Config, value []byte) (uint64, *pack.Content, error) {
		hd, err := accept.ParseHead(value)
		if err != nil || hd.Last.Version == 0 {
			return 0, nil, err
		}
		var base *pack.Content
		if known != nil {
			if hd.Last.Version <= known.Version {
				return hd.Last.Version, nil, nil
			}
			base = known.Content
		}
		co, err := accept.ContentFrom(ctx, kv, base, hd.Last)
		return hd.Last.Version, co, err
	}
	restore := func(ctx context.Context, kv store.Store, cfg *board.Config) error {
		return accept.Restore(ctx, kv, cfg.Version, cfg.Content)
	}
	return Source{Key: accept.HeadKey, Read: read, Restore: restore, Rollouts: defaultRollouts()}
}

// Node is the control plane of one daemon.
type Node struct {
	Board *board.Board
	// Traffic counts the bytes sent over links, by kind.
	Traffic *expvar.Map
	cf      Config
	log     *slog.Logger
	http    *http.Client

	history  pack.History
	compiler snap.Compiler // used by runCompiler alone
	// fullLimiter and fullSlots bound the rate and the number of full content transfers served.
	// fetchLock is held by the fetch in progress.
	fullLimiter *rate.Limiter
	fullSlots   chan struct{}
	fetchLock   chan struct{}
	// singleCrashLimiter bounds the forwarded reports of requests that were running during a
	// single crash only.
	singleCrashLimiter *rate.Limiter
	poison             *poisonSyncer
	// linkerWake makes the linker reconcile its links.
	linkerWake chan struct{}

	// mu guards the fields below, and the Record and Relay fields of each peer.
	mu    sync.Mutex
	peers map[*link.Peer]bool
	// heldVersions has the held versions of the VMs of the local failure domain, summaries those of
	// the remote ones. lastReached is when a link to each failure domain last existed.
	heldVersions map[string]heldVersion
	summaries    map[string]*wirepb.Summary
	lastReached  map[string]time.Time
	// leaving has, for each VM, the last lifetime of its backend server that announced its
	// departure.
	leaving map[string]member.Departure
	expiry  *expire.Detector
	// heardIndirectly has the VMs that are heard through daemons which are not relays.
	heardIndirectly map[string]time.Time
	// incarnationRaises counts how often the incarnation was raised above that of a predecessor.
	incarnationRaises int
	// followers are the daemons that follow the store. startRole is derived from the first
	// directory look-up of this process, observed is what the store last showed, and freshRead the
	// last read that confirmed the newest version.
	followers follow.Followers
	startRole startRole
	observed  storeObservation
	freshRead freshRead
	// freshReadWanted requests a read of the store on behalf of peers that start.
	freshReadWanted chan struct{}
	// watcherWake makes the watcher check whether it should follow the store.
	watcherWake chan struct{}
	// reregister makes a relay register again after the store has entered a new epoch.
	reregister chan struct{}
	// completeEpoch is the last epoch in which the store was seen to have all versions.
	completeEpoch store.Epoch
	// markedEpoch is the last epoch known to be recorded in the store under epochKey.
	markedEpoch store.Epoch
	// following is set while this daemon follows the store.
	following board.Cell[bool]
	tallies   tallies
	quota     *quotaController
	stamps    atomic.Uint64
	// restoring is set while a version lost by the store is being rewritten.
	restoring atomic.Bool
	// registered is set while the daemon's key is in the directory.
	registered atomic.Bool
	// summaryDirty says that the local failure domain's summary has changed since it was last sent.
	summaryDirty bool
	linker       *linker
	wg           conc.WaitGroup
	closed       bool

	started time.Time
	// ctx is cancelled when the context of Run ends.
	ctx    context.Context
	cancel context.CancelFunc
}

// heldVersion is what a VM reports about its configuration: the version it holds, and a newer one
// that it refused, if any, with the reason.
type heldVersion struct {
	version uint64
	refused uint64
	reason  string
}

// Limits on the full content transfers that a relay serves.
const (
	// fullRate and fullBurst bound the transfers per second, maxFullTransfers the concurrent ones.
	fullRate         = 50
	fullBurst        = 8
	maxFullTransfers = 8
)

// New returns the control plane for cf; call Run to start it.
func New(cf Config) *Node {
	nd := &Node{
		Board:              &board.Board{},
		Traffic:            newTraffic(),
		cf:                 cf,
		log:                cf.Log,
		fullLimiter:        rate.NewLimiter(fullRate, fullBurst),
		fullSlots:          make(chan struct{}, maxFullTransfers),
		singleCrashLimiter: rate.NewLimiter(singleCrashRate, singleCrashBurst),
		fetchLock:          make(chan struct{}, 1),
		linkerWake:         make(chan struct{}, 1),
		freshReadWanted:    make(chan struct{}, 1),
		watcherWake:        make(chan struct{}, 1),
		reregister:         make(chan struct{}, 1),
		peers:              map[*link.Peer]bool{},
		heldVersions:       map[string]heldVersion{},
		summaries:          map[string]*wirepb.Summary{},
		lastReached:        map[string]time.Time{},
		leaving:            map[string]member.Departure{},
		expiry:             expire.New(),
		heardIndirectly:    map[string]time.Time{},
		started:            time.Now(),
	}
	if nd.log == nil {
		nd.log = slog.New(slog.DiscardHandler)
	}
	if nd.cf.Source.Read == nil {
		nd.cf.Source = defaultSource()
	}
	nd.compiler.RoutesOnly = nd.cf.Source.RoutesOnly
	if nd.cf.Compile == nil {
		nd.cf.Compile = nd.compiler.Compile
	}
	if nd.cf.Drain == nil {
		nd.cf.Drain = func() int { return 0 }
	}
	if nd.cf.Counts == nil {
		nd.cf.Counts = func() Counts { return Counts{} }
	}
	if nd.cf.OnNewEpoch == nil {
		nd.cf.OnNewEpoch = func() {}
	}
	nd.cf.Store = nd.watchEpochs(cf.Store)
	nd.ctx, nd.cancel = context.WithCancel(context.Background())
	nd.http = newHTTPClient(cf)
	nd.linker = newLinker(nd)
	nd.poison = &poisonSyncer{nd: nd}
	nd.quota = newQuotaController(nd)
	// The wall clock usually gives a higher incarnation than the predecessor had. If it does not,
	// the first contact with a peer corrects it.
	self := &member.Record{
		VM: cf.VM, Domain: cf.Domain, Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1,
		Nonce: rand.Uint64(), State: member.StateAbsent, Inlet: cf.Inlet, Control: cf.Control, Capacity: cf.Capacity,
	}
	nd.Board.Self.Set(self)
	nd.Board.Links.Set(&board.Links{})
	nd.mergeRecords([]*member.Record{self})
	return nd
}

// Store returns the platform's store. Calls made through it inform the node of new epochs.
func (nd *Node) Store() store.Store { return nd.cf.Store }

// Run keeps the daemon in the mesh until ctx ends.
func (nd *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, nd.cancel)
	defer stop()
	for _, fn := range []func(context.Context){
		nd.linker.run, nd.runCompiler, nd.runHousekeeping, nd.runWatcher, nd.runFallback, nd.runFreshReads, nd.runDirectory, nd.runRollouts, nd.runTallies, nd.quota.run,
	} {
		nd.background(func() { fn(nd.ctx) })
	}
	<-nd.ctx.Done()
	nd.mu.Lock()
	nd.closed = true
	nd.mu.Unlock()
	nd.wg.Wait()
	nd.http.CloseIdleConnections()
}

// background runs fn in a goroutine, which must end with nd.ctx. It reports whether fn was started:
// after Run has ended, nothing is.
func (nd *Node) background(fn func()) bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if !nd.closed {
		nd.wg.Go(fn)
	}
	return !nd.closed
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Announce changes the daemon's own record and sends it to the other daemons.
func (nd *Node) Announce(fn func(*member.Record)) {
	var next member.Record
	nd.Board.Self.Update(func(cur *member.Record) *member.Record {
		next = *cur
		fn(&next)
		next.Sequence++
		return &next
	})
	nd.mergeRecords([]*member.Record{&next})
}

// Leave announces that the daemon is shutting down, and waits long enough for the message to be
// sent.
func (nd *Node) Leave(ctx context.Context) {
	nd.Announce(func(rc *member.Record) { rc.State = member.StateLeft })
	select {
	case <-time.After(leaveFlushTime):
	case <-ctx.Done():
	}
}

// leaveFlushTime is enough for the message of a departing daemon to be sent.
const leaveFlushTime = 200 * time.Millisecond

func (nd *Node) isRelay() bool { return nd.Board.Links.Get().Relay }

// wakeLinker makes the linker reconcile its links.
func (nd *Node) wakeLinker() {
	select {
	case nd.linkerWake <- struct{}{}:
	default:
	}
}
