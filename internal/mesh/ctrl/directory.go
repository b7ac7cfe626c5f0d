package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// Timing of the directory.
const (
	leaseTTL = 15 * time.Second
	// renewInterval leaves time for one failed renewal within leaseTTL.
	renewInterval  = 8 * time.Second
	searchInterval = 2 * time.Second
	// startJitter spreads the first look-ups of many daemons that start together, so that the later
	// ones find the keys of the earlier ones and need not register themselves.
	startJitter = 300 * time.Millisecond
	// registerRetry is how often a relay without a lease tries to register.
	registerRetry = 500 * time.Millisecond
	// startSearchInterval is the search interval of a daemon without links shortly after its start.
	startSearchInterval = 500 * time.Millisecond
	// remoteRelayWait is how long a daemon that is alone in its failure domain waits for the
	// version floor from daemons registered in other failure domains. The keys of dead daemons
	// expire within leaseTTL.
	remoteRelayWait = leaseTTL + 5*time.Second
)

// directory holds the daemon addresses found under the platform's directory keys. It serves daemons
// that start and failure domains that have lost contact with each other. A stale key, left by a
// daemon that has ended or written by one that was paused past its lease, only costs a failed
// connection.
type directory struct {
	mu sync.Mutex
	// found has the addresses of other daemons by failure domain. The map is replaced as a whole
	// and never modified.
	found map[string][]string
}

func (dr *directory) set(found map[string][]string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.found = found
}

// addresses calls yield for each failure domain with the addresses found in it.
func (dr *directory) addresses(yield func(domain string, addrs []string) bool) {
	dr.mu.Lock()
	found := dr.found
	dr.mu.Unlock()
	for domain, addrs := range found {
		if !yield(domain, addrs) {
			return
		}
	}
}

// directoryPrefix is the prefix of the directory keys, relays/DOMAIN/VM.
const directoryPrefix = "relays/"

func directoryKey(domain, vm string) string { return directoryPrefix + domain + "/" + vm }

// searchDirectory reads the whole directory in one call and records the addresses of other daemons.
func (nd *Node) searchDirectory(ctx context.Context) (map[string][]string, error) {
	items, err := nd.cf.Store.List(ctx, directoryPrefix)
	if err != nil {
		return nil, err
	}
	found := map[string][]string{}
	own := false
	for _, it := range items {
		domain, addr, err := readEntry(it.Key, it.Value)
		if err != nil {
			nd.log.Warn("directory-entry-unreadable", slog.Any("error", err))
			continue
		}
		if addr == nd.cf.Control {
			own = true
			continue
		}
		found[domain] = append(found[domain], addr)
	}
	if others := found[nd.cf.Domain]; own || len(others) > 0 || nd.linker.alone() {
		nd.setStartRole(startRoleFor(others, own))
	}
	nd.linker.directory.set(found)
	nd.wakeLinker()
	return found, nil
}

// readEntry returns the failure domain and the control address of a directory entry. An entry that
// is not valid was not written by a daemon, and dialing it as a relay would only wait for an answer
// that never comes.
func readEntry(key string, value []byte) (domain, addr string, err error) {
	domain, vm, _ := strings.Cut(strings.TrimPrefix(key, directoryPrefix), "/")
	if domain == "" || vm == "" {
		return "", "", fmt.Errorf("key %q: must name a failure domain and a VM", key)
	}
	host, port, err := net.SplitHostPort(string(value))
	if err != nil {
		return "", "", fmt.Errorf("key %q: %w", key, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return "", "", fmt.Errorf("key %q: address is %.64q, want host:port", key, value)
	}
	return domain, string(value), nil
}

// runDirectory registers a relay, and searches for other daemons while links are missing.
func (nd *Node) runDirectory(ctx context.Context) {
	reg := &registration{nd: nd}
	defer reg.revoke()
	if pause(ctx, rand.N(startJitter)) != nil {
		return
	}
	for {
		wait := nd.directoryRound(ctx, reg)
		// Random waits keep daemons that started together spread over the interval.
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-nd.reregister:
			if pause(ctx, rand.N(startJitter)) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// directoryRound renews, searches and registers as needed, and returns the wait until the next
// round.
func (nd *Node) directoryRound(ctx context.Context, reg *registration) time.Duration {
	alone := nd.linker.alone()
	if !alone && !nd.isRelay() && !nd.mustLookUp() {
		// A daemon that has just started may be about to become a relay.
		if time.Since(nd.started) > discoveryTime+promoteAfter+searchInterval {
			reg.revoke()
		}
		return searchInterval
	}
	hasLease := reg.renew(ctx)
	if hasLease && !alone && len(nd.unlinkedDomains()) == 0 {
		return renewInterval
	}
	found, err := nd.searchDirectory(ctx)
	switch {
	case err != nil && nd.isRelay() && !hasLease:
		return registerRetry
	case err != nil:
		return nd.searchWait(searchInterval, alone)
	}
	// A daemon without links registers if few others are registered, so that the first daemons of a
	// failure domain find each other before any of them is a relay.
	if !hasLease && (nd.isRelay() || alone && len(found[nd.cf.Domain]) < relay.Count) {
		if err := reg.register(ctx); err != nil {
			nd.log.Warn("directory-failed", slog.Any("error", err))
			return registerRetry
		}
	}
	if len(found[nd.cf.Domain]) == 0 && nd.linker.alone() {
		nd.settleFloorAlone(ctx, found)
	}
	return nd.searchWait(searchInterval, alone)
}

// mustLookUp reports whether a daemon that has links needs its first look-up all the same. After a
// restart of all daemons, those registered are linked to by the others at once. Without the look-up
// they would not know that it is them who read the configuration for the others.
func (nd *Node) mustLookUp() bool {
	nd.mu.Lock()
	undecided := nd.startRole == startUndecided
	nd.mu.Unlock()
	return undecided && !nd.hearsRelay()
}

// searchWait shortens the wait of a daemon that has just started and has no links.
func (nd *Node) searchWait(wait time.Duration, alone bool) time.Duration {
	if alone && time.Since(nd.started) < 2*discoveryTime {
		return startSearchInterval
	}
	return wait
}

// settleFloorAlone settles the version floor if there is no daemon to learn it from: none is
// registered in the local failure domain and no seed answers. Relays of other failure domains may
// still know what was held here, so it first waits for those that are registered.
func (nd *Node) settleFloorAlone(ctx context.Context, found map[string][]string) {
	if err := nd.checkEpoch(ctx, 0); err != nil {
		nd.log.Warn("store-epoch-unknown", slog.Any("error", err))
		return
	}
	age := time.Since(nd.started)
	// A store restored from an older copy may lack the entries of live daemons.
	empty := len(found) == 0 && nd.storeComplete()
	if age > discoveryTime && empty || age > remoteRelayWait {
		nd.Board.RaiseFloor(0, true)
	}
}

// unlinkedDomains returns the other failure domains to which there is no link.
func (nd *Node) unlinkedDomains() []string {
	var list []string
	for _, dm := range nd.otherDomains() {
		if !nd.linker.linkedTo(dm) {
			list = append(list, dm)
		}
	}
	return list
}

// registration maintains a daemon's key in the directory.
type registration struct {
	nd    *Node
	lease store.LeaseID
}

// renew renews the lease and reports whether there is one. The lease may have expired while this
// process was paused; this is harmless, since the key is only a hint and the error LeaseNotFound
// leads to a new registration. If the platform does not answer, the next round tries again.
func (rg *registration) renew(ctx context.Context) bool {
	if rg.lease == (store.LeaseID{}) {
		return false
	}
	gone := store.IsKind(rg.nd.cf.Store.Renew(ctx, rg.lease), store.LeaseNotFound)
	if gone {
		rg.nd.log.Warn("directory-lease-lapsed")
		rg.lease = store.LeaseID{}
		rg.nd.registered.Store(false)
	}
	return rg.lease != (store.LeaseID{})
}

// register writes the key under a new lease, overwriting any value: only processes of this VM write
// it.
func (rg *registration) register(ctx context.Context) error {
	kv := rg.nd.cf.Store
	id, err := kv.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	ch := store.Change{Key: directoryKey(rg.nd.cf.Domain, rg.nd.cf.VM), Value: []byte(rg.nd.cf.Control), Lease: id}
	ok, cur, err := kv.Swap(ctx, ch)
	if err == nil && !ok {
		ch.Revision = cur.Revision
		ok, _, err = kv.Swap(ctx, ch)
	}
	if err != nil || !ok {
		return err
	}
	rg.lease = id
	rg.nd.registered.Store(true)
	// Peers may have asked before.
	rg.nd.requestFreshRead()
	return nil
}

// revoke removes the key, when the daemon is no longer a relay or shuts down.
func (rg *registration) revoke() {
	if rg.lease == (store.LeaseID{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := rg.nd.cf.Store.Revoke(ctx, rg.lease); err != nil {
		rg.nd.log.Info("directory-lease-left", slog.Any("error", err))
	}
	rg.lease = store.LeaseID{}
	rg.nd.registered.Store(false)
}
