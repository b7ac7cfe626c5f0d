package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/accept"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/relay"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// The times of the directory.
const (
	leaseTTL    = 15 * time.Second
	renewEvery  = 5 * time.Second
	searchEvery = 2 * time.Second
	// othersTime is how long a daemon that is alone in its failure domain waits
	// for the word of others that are registered; keys of dead ones lapse
	// within leaseTTL.
	othersTime = leaseTTL + 5*time.Second
)

// directory is what the platform's keys say of where relays are. It serves
// daemons that start and failure domains that have lost each other; a key that
// outlives its relay, or one written by a relay that was paused past its lease,
// costs a failed connection and nothing else.
type directory struct {
	mu    sync.Mutex
	found map[string][]string
}

func (dr *directory) set(domain string, addrs []string) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.found == nil {
		dr.found = map[string][]string{}
	}
	dr.found[domain] = addrs
}

func (dr *directory) addresses() []string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var list []string
	for _, addrs := range dr.found {
		list = append(list, addrs...)
	}
	slices.Sort(list)
	return list
}

func slotKey(domain string, slot int) string { return fmt.Sprintf("relays/%s/%d", domain, slot) }

// readSlots reads the addresses of a failure domain's relays, and the first
// slot that is free or holds own, or -1.
func (nd *Node) readSlots(ctx context.Context, domain, own string) (addrs []string, free int, err error) {
	free = -1
	for slot := range relay.Count {
		ent, err := nd.cf.Store.Get(ctx, slotKey(domain, slot))
		if err != nil {
			return nil, -1, err
		}
		addr := string(ent.Value)
		switch {
		case ent.Revision == 0 && free < 0:
			free = slot
		case addr == own:
			free = slot
		case ent.Revision != 0:
			addrs = append(addrs, addr)
		}
	}
	return addrs, free, nil
}

// runDirectory registers a relay, and looks up relays while links are missing.
func (nd *Node) runDirectory(ctx context.Context) {
	reg := &registration{nd: nd}
	defer reg.end()
	for {
		wait := searchEvery
		switch {
		case nd.isRelay():
			reg.keep(ctx)
			nd.searchMissing(ctx)
			if len(nd.missing()) == 0 {
				wait = renewEvery
			}
		case nd.linker.alone():
			reg.end()
			nd.search(ctx, nd.cf.Domain)
		default:
			reg.end()
		}
		// The waits are drawn anew each time, so that a herd that starts at
		// once spreads over the interval.
		if pause(ctx, wait/2+rand.N(wait/2)) != nil {
			return
		}
	}
}

func (nd *Node) search(ctx context.Context, domain string) {
	addrs, _, err := nd.readSlots(ctx, domain, nd.cf.Control)
	if err != nil {
		return
	}
	nd.linker.dirs.set(domain, addrs)
	nd.poke()
	if domain == nd.cf.Domain && len(addrs) == 0 && nd.linker.alone() {
		nd.settleAlone(ctx)
	}
}

// settleAlone settles the floor when nobody is there to tell it: no relay of
// the own failure domain is registered and no seed answers. Relays of other
// failure domains may still know what was held here, so their addresses are
// looked up first; the platform's head names the failure domains, also one
// that was set back.
func (nd *Node) settleAlone(ctx context.Context) {
	if time.Since(nd.started) <= bootTime {
		return
	}
	others, err := nd.searchOthers(ctx)
	if err != nil {
		return
	}
	if len(others) == 0 || time.Since(nd.started) > othersTime {
		nd.Board.RaiseFloor(0, true)
	}
}

// searchOthers looks up the relays of the failure domains that the platform's
// newest version declares.
func (nd *Node) searchOthers(ctx context.Context) ([]string, error) {
	hd, _, err := accept.Load(ctx, nd.cf.Store)
	if err != nil || hd.Last.Version == 0 {
		return nil, err
	}
	co, err := accept.Content(ctx, nd.cf.Store, hd.Last)
	if err != nil {
		return nil, err
	}
	var all []string
	for _, rs := range co.Resources {
		if rs.Key.Kind != pack.KindDomain || rs.Key.Name == nd.cf.Domain {
			continue
		}
		addrs, _, err := nd.readSlots(ctx, rs.Key.Name, nd.cf.Control)
		if err != nil {
			return nil, err
		}
		nd.linker.dirs.set(rs.Key.Name, addrs)
		all = append(all, addrs...)
	}
	nd.poke()
	return all, nil
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

func (nd *Node) searchMissing(ctx context.Context) {
	for _, dm := range nd.missing() {
		nd.search(ctx, dm)
	}
}

// registration keeps a relay's key in the directory.
type registration struct {
	nd    *Node
	lease store.LeaseID
	slot  int
	done  bool
}

// keep renews the lease, or takes a slot under a new one. That the lease may
// have ended while this process was paused does no harm: the key is only a
// hint, and Gone leads to a new registration.
func (rg *registration) keep(ctx context.Context) {
	nd := rg.nd
	if rg.done {
		err := nd.cf.Store.Renew(ctx, rg.lease)
		if err == nil {
			if nd.linker.alone() {
				nd.search(ctx, nd.cf.Domain)
			}
			return
		}
		if !store.Is(err, store.Gone) {
			return
		}
		rg.done = false
	}
	addrs, free, err := nd.readSlots(ctx, nd.cf.Domain, nd.cf.Control)
	if err != nil {
		return
	}
	nd.linker.dirs.set(nd.cf.Domain, addrs)
	nd.poke()
	if len(addrs) == 0 && nd.linker.alone() {
		nd.settleAlone(ctx)
	}
	if free < 0 {
		return
	}
	if err := rg.register(ctx, free); err != nil {
		nd.log.Warn("directory-failed", slog.Any("error", err))
	}
}

func (rg *registration) register(ctx context.Context, slot int) error {
	kv := rg.nd.cf.Store
	id, err := kv.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	key := slotKey(rg.nd.cf.Domain, slot)
	ent, err := kv.Get(ctx, key)
	if err != nil {
		return err
	}
	ok, _, err := kv.Swap(ctx, store.Change{Key: key, Revision: ent.Revision, Value: []byte(rg.nd.cf.Control), Lease: id})
	if err != nil || !ok {
		return err
	}
	rg.lease, rg.slot, rg.done = id, slot, true
	return nil
}

// end gives the slot back when the daemon is no longer a relay or ends.
func (rg *registration) end() {
	if !rg.done {
		return
	}
	rg.done = false
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = rg.nd.cf.Store.Revoke(ctx, rg.lease)
}
