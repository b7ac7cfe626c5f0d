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

// The times of the directory.
const (
	leaseTTL = 15 * time.Second
	// renewEvery leaves time for one renewal that fails.
	renewEvery  = 8 * time.Second
	searchEvery = 2 * time.Second
	// spread is the time over which the first look-ups of a herd that starts at
	// once are spread, so that the later ones find the keys of the earlier ones
	// and need none of their own.
	spread = 300 * time.Millisecond
	// registerAgain is how often a relay without a lease tries to register.
	registerAgain = 500 * time.Millisecond
	// hasty is how often a daemon without any link looks during its first
	// seconds.
	hasty = 500 * time.Millisecond
	// othersTime is how long a daemon that is alone in its failure domain waits
	// for the word of others that are registered; keys of dead ones lapse
	// within leaseTTL.
	othersTime = leaseTTL + 5*time.Second
)

// directory is what the platform's keys say of where daemons are. It serves
// daemons that start and failure domains that have lost each other; a key that
// outlives its daemon, or one written by a daemon that was paused past its
// lease, costs a failed connection and nothing else.
type directory struct {
	mu sync.Mutex
	// found has the addresses of others by failure domain; it is replaced as a whole.
	found map[string][]string
}

func (dr *directory) set(found map[string][]string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.found = found
}

// addresses calls yield for each failure domain with the addresses found there.
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

// directoryPrefix begins the keys of the directory: relays/DOMAIN/VM.
const directoryPrefix = "relays/"

func directoryKey(domain, vm string) string { return directoryPrefix + domain + "/" + vm }

// search reads the whole directory in one call and notes the addresses of
// others.
func (nd *Node) search(ctx context.Context) (map[string][]string, error) {
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
	nd.setStance(stanceOf(found[nd.cf.Domain], own))
	nd.linker.dirs.set(found)
	nd.poke()
	return found, nil
}

// readEntry returns the failure domain and the control address of a directory entry.
// One that cannot be read was written by something else; a daemon that took it for a
// relay would wait for it to answer.
func readEntry(key string, value []byte) (domain, addr string, err error) {
	domain, vm, _ := strings.Cut(strings.TrimPrefix(key, directoryPrefix), "/")
	if domain == "" || vm == "" {
		return "", "", fmt.Errorf("key %q: name a failure domain and a VM", key)
	}
	host, port, err := net.SplitHostPort(string(value))
	if err != nil {
		return "", "", fmt.Errorf("key %q: %w", key, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return "", "", fmt.Errorf("key %q: the address is %.64q; write host:port", key, value)
	}
	return domain, string(value), nil
}

// runDirectory registers a relay, and looks up others while links are missing.
func (nd *Node) runDirectory(ctx context.Context) {
	reg := &registration{nd: nd}
	defer reg.end()
	if pause(ctx, rand.N(spread)) != nil {
		return
	}
	for {
		wait := nd.directoryRound(ctx, reg)
		// The waits are drawn anew each time, so that a herd that starts at
		// once spreads over the interval.
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-nd.reregister:
			if pause(ctx, rand.N(spread)) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// directoryRound does what is due once and returns the wait until the next.
func (nd *Node) directoryRound(ctx context.Context, reg *registration) time.Duration {
	alone := nd.linker.alone()
	if !alone && !nd.isRelay() {
		// One that has just started may be about to become a relay.
		if time.Since(nd.started) > bootTime+promoteAfter+searchEvery {
			reg.end()
		}
		return searchEvery
	}
	kept := reg.renew(ctx)
	if kept && !alone && len(nd.missing()) == 0 {
		return renewEvery
	}
	found, err := nd.search(ctx)
	switch {
	case err != nil && nd.isRelay() && !kept:
		return registerAgain
	case err != nil:
		return nd.hurry(searchEvery, alone)
	}
	// A daemon that is alone registers where few are registered, so that the
	// first ones of a failure domain find each other before any is a relay.
	if !kept && (nd.isRelay() || len(found[nd.cf.Domain]) < relay.Count) {
		if err := reg.register(ctx); err != nil {
			nd.log.Warn("directory-failed", slog.Any("error", err))
			return registerAgain
		}
	}
	if len(found[nd.cf.Domain]) == 0 && nd.linker.alone() {
		nd.settleAlone(ctx, found)
	}
	return nd.hurry(searchEvery, alone)
}

// hurry shortens the wait of a daemon that has just started and is alone.
func (nd *Node) hurry(wait time.Duration, alone bool) time.Duration {
	if alone && time.Since(nd.started) < 2*bootTime {
		return hasty
	}
	return wait
}

// settleAlone settles the floor when nobody is there to tell it: no daemon of
// the own failure domain is registered and no seed answers. Relays of other
// failure domains may still know what was held here, so they are waited for.
func (nd *Node) settleAlone(ctx context.Context, found map[string][]string) {
	if err := nd.checkEpoch(ctx, 0); err != nil {
		nd.log.Warn("store-epoch-unknown", slog.Any("error", err))
		return
	}
	age := time.Since(nd.started)
	// A store that came back from an older copy may lack the entries of live daemons.
	empty := len(found) == 0 && nd.complete()
	if age > bootTime && empty || age > othersTime {
		nd.Board.RaiseFloor(0, true)
	}
}

// missing returns the failure domains that no link leads to.
func (nd *Node) missing() []string {
	var list []string
	for _, dm := range nd.otherDomains() {
		if !nd.linker.linkedTo(dm) {
			list = append(list, dm)
		}
	}
	return list
}

// registration keeps a daemon's key in the directory.
type registration struct {
	nd    *Node
	lease store.LeaseID
}

// renew renews the lease and reports whether there is one. That the lease may
// have ended while this process was paused does no harm: the key is only a
// hint, and Gone leads to a new registration. A platform that does not answer
// is asked again with the next round.
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

// register writes the key under a new lease, whatever it holds: only this VM's
// processes write it.
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
	return nil
}

// end takes the key out when the daemon is no longer a relay or ends.
func (rg *registration) end() {
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
