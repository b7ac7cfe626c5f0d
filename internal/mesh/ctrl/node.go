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

// Protocol is the version of the messages, sent in each Hello.
const Protocol = 1

// Config says who a daemon is and how it reaches others.
type Config struct {
	VM, Domain string
	// Control and Inlet are the addresses (host:port) that others use.
	Control, Inlet string
	// Capacity is the rate of the VM's link in Mbit/s, 0 where it is not known.
	// Relays are chosen by it.
	Capacity uint32
	// Seeds are addresses of daemons to try before the platform is asked.
	Seeds []string
	// Token is a secret that all daemons of the mesh share; empty for none.
	Token string
	Store store.Store
	// OnNewEpoch, if set, is called when a peer has seen the store in a new epoch, so
	// that calls are not held back any more.
	OnNewEpoch func()
	// FirstStart says that the whole mesh starts for the first time.
	FirstStart bool
	// Source says where the operators' versions are in the store; the zero
	// value stands for the head that accept writes.
	Source Source
	Log    *slog.Logger
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Compile makes the snapshot of a version; nil stands for a snap.Compiler.
	Compile func(version uint64, co *pack.Content, domain string) (*snap.Snapshot, error)
	// Counts returns what the VM's own backend server did; nil where there is none.
	Counts func() Counts
	// Drain orders the inlet to take no new work and returns how many requests
	// are running.
	Drain func() int
}

// Source says where the newest version of the operators is kept.
type Source struct {
	// Key is the store's key that changes with each version.
	Key string
	// Read makes a version of the key's value; known is the newest one known,
	// nil for none. The content is nil when the version is not newer.
	Read func(ctx context.Context, kv store.Store, known *board.Config, value []byte) (uint64, *pack.Content, error)
	// Linearizable says that a read shows every version that was ever accepted, but where the
	// store came back from an older copy. Such a read settles the floor of a new process.
	Linearizable bool
	// Restore writes a version again that the store lost; nil where whoever wrote it does
	// so. Daemons may call it at the same time, and more than once.
	Restore func(ctx context.Context, kv store.Store, cfg *board.Config) error
	// Rollouts says where the orders of rollouts are; the zero value stands for none.
	Rollouts Rollouts
}

// headSource reads the head that accept writes, and the content beside it.
func headSource() Source {
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
	return Source{Key: accept.HeadKey, Read: read, Restore: restore, Rollouts: ownRollouts()}
}

// Node is the control part of one daemon.
type Node struct {
	Board *board.Board
	// Traffic counts what links have sent, in bytes by kind.
	Traffic *expvar.Map
	cf      Config
	log     *slog.Logger
	http    *http.Client

	history  pack.History
	compiler snap.Compiler // used by runCompiler alone
	// wholes and transfers bound the whole contents that are served; fetching
	// is held by the one fetch that runs.
	wholes    *rate.Limiter
	transfers chan struct{}
	fetching  chan struct{}
	// firstEnds bounds the reports of requests that one server ended under.
	firstEnds *rate.Limiter
	keeper    *keeper
	// kick lets the linker look again.
	kick chan struct{}

	// mu guards what follows, and the Record and Relay of each peer.
	mu    sync.Mutex
	peers map[*link.Peer]bool
	// holds has what the VMs of the own failure domain hold, summaries what
	// the other failure domains do, reached when a link to each was last known.
	holds     map[string]hold
	summaries map[string]*wirepb.Summary
	reached   map[string]time.Time
	// leavers has the last lifetime of each VM's backend server that said it
	// leaves.
	leavers map[string]member.Departure
	expiry  *expire.Detector
	// through has the VMs that are heard through daemons that are no relays.
	through map[string]time.Time
	// bumped counts how often the incarnation was raised above a forerunner's.
	bumped int
	// followers are the daemons that follow the store, starting is what this process saw
	// when it started, seen what the store showed last, and proof when.
	followers follow.Followers
	starting  stance
	seen      seen
	proof     proof
	// unproven asks for a read for peers that start.
	unproven chan struct{}
	// lookAgain lets the watcher look again.
	lookAgain chan struct{}
	// reregister lets a relay register again, in a new epoch of the store.
	reregister chan struct{}
	// completeIn is the last epoch in which the store was seen to have all versions.
	completeIn store.Epoch
	// markedIn is the last epoch that the store is known to keep.
	markedIn store.Epoch
	// following is set while this daemon follows the store.
	following board.Cell[bool]
	tallies   tallies
	stamps    atomic.Uint64
	// restoring is set while a version that the store lost is written again.
	restoring atomic.Bool
	// registered is set while the daemon's key is in the directory.
	registered atomic.Bool
	// sumDirty says that the own failure domain's summary is to be sent.
	sumDirty bool
	linker   *linker
	wg       conc.WaitGroup
	closed   bool

	started time.Time
	// life ends with Run.
	life context.Context
	end  context.CancelFunc
}

// hold is what a VM has said that it holds.
type hold struct {
	version uint64
	refused uint64
	reason  string
}

// The limits of whole transfers that a relay serves.
const (
	// wholeRate and wholeBurst bound how many whole contents a relay sends a
	// second, wholeAtOnce how many at the same time.
	wholeRate   = 50
	wholeBurst  = 8
	wholeAtOnce = 8
)

// New returns the control part for cf; Run starts it.
func New(cf Config) *Node {
	nd := &Node{
		Board:      &board.Board{},
		Traffic:    newTraffic(),
		cf:         cf,
		log:        cf.Log,
		wholes:     rate.NewLimiter(wholeRate, wholeBurst),
		transfers:  make(chan struct{}, wholeAtOnce),
		firstEnds:  rate.NewLimiter(firstEndsRate, firstEndsBurst),
		fetching:   make(chan struct{}, 1),
		kick:       make(chan struct{}, 1),
		unproven:   make(chan struct{}, 1),
		lookAgain:  make(chan struct{}, 1),
		reregister: make(chan struct{}, 1),
		peers:      map[*link.Peer]bool{},
		holds:      map[string]hold{},
		summaries:  map[string]*wirepb.Summary{},
		reached:    map[string]time.Time{},
		leavers:    map[string]member.Departure{},
		expiry:     expire.New(),
		through:    map[string]time.Time{},
		started:    time.Now(),
	}
	if nd.log == nil {
		nd.log = slog.New(slog.DiscardHandler)
	}
	if nd.cf.Source.Read == nil {
		nd.cf.Source = headSource()
	}
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
	nd.life, nd.end = context.WithCancel(context.Background())
	nd.http = newHTTPClient(cf)
	nd.linker = newLinker(nd)
	nd.keeper = &keeper{nd: nd}
	// The wall clock gives an incarnation above that of the process before
	// in most cases; the first contact corrects it in the others.
	self := &member.Record{
		VM: cf.VM, Domain: cf.Domain, Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1,
		Nonce: rand.Uint64(), State: member.StateAbsent, Inlet: cf.Inlet, Control: cf.Control, Capacity: cf.Capacity,
	}
	nd.Board.Self.Set(self)
	nd.Board.Links.Set(&board.Links{})
	nd.mergeRecords([]*member.Record{self})
	return nd
}

// Store returns the platform's store; its calls tell the node of a new epoch.
func (nd *Node) Store() store.Store { return nd.cf.Store }

// Run keeps the daemon in the mesh until ctx ends.
func (nd *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, nd.end)
	defer stop()
	for _, fn := range []func(context.Context){
		nd.linker.run, nd.runCompiler, nd.runHousekeeping, nd.runWatcher, nd.runProofs, nd.runDirectory, nd.runRollouts, nd.runTallies,
	} {
		nd.background(func() { fn(nd.life) })
	}
	<-nd.life.Done()
	nd.mu.Lock()
	nd.closed = true
	nd.mu.Unlock()
	nd.wg.Wait()
	nd.http.CloseIdleConnections()
}

// background runs fn, which must end with the node, and reports whether it did
// so: a node that has ended starts nothing more.
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

// Announce changes the daemon's own record and tells the others.
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

// Leave tells the others that the daemon ends. It returns after the news has
// had the time to be sent.
func (nd *Node) Leave(ctx context.Context) {
	nd.Announce(func(rc *member.Record) { rc.State = member.StateLeft })
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
}

// leaveTime is enough for the news of a leaving daemon to be sent.
const leaveTime = 200 * time.Millisecond

func (nd *Node) isRelay() bool { return nd.Board.Links.Get().Relay }

// poke lets the linker look again.
func (nd *Node) poke() {
	select {
	case nd.kick <- struct{}{}:
	default:
	}
}
