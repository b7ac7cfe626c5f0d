package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer, by the sheet of the deployments.
const storeDelay = 4 * time.Millisecond

// history is how long the store keeps its events, by the settings.
const history = 20 * time.Second

// item is an entry of the store as PROTOCOL.md shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type event struct {
	at       time.Time
	revision int64
	key      string
	text     json.RawMessage
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is the platform's store: one revision counter, leases, watches with a history.
type kvStore struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	compacted int64
	nextLease int64
	items     map[string]*item
	leases    map[int64]*lease
	events    []event
	// down is set while the store answers no call, since downAt.
	down   bool
	downAt time.Time
	// onCall is called with the machine that calls, the path and the query key.
	onCall func(vm, path, key string)
}

func newStore() *kvStore {
	st := &kvStore{changed: make(chan struct{}), revision: 10, nextLease: 77000, items: map[string]*item{}, leases: map[int64]*lease{}}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			st.expire()
		}
	}()
	return st
}

// expire ends leases and drops events that are older than history.
func (st *kvStore) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return
	}
	now := time.Now()
	for id, le := range st.leases {
		if now.After(le.expires) {
			st.endLease(id)
		}
	}
	n := 0
	for n < len(st.events) && now.Sub(st.events[n].at) > history {
		st.compacted = st.events[n].revision
		n++
	}
	st.events = st.events[n:]
}

func (st *kvStore) endLease(id int64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.remove(key)
		}
	}
}

func (st *kvStore) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *kvStore) put(key string, value []byte, le int64) int64 {
	st.revision++
	it := &item{Key: key, Value: value, Revision: st.revision, Created: st.revision, Lease: le}
	if old := st.items[key]; old != nil {
		it.Created = old.Created
	}
	st.items[key] = it
	text, _ := json.Marshal(it)
	st.events = append(st.events, event{time.Now(), st.revision, key, text})
	st.notify()
	return st.revision
}

func (st *kvStore) remove(key string) {
	if st.items[key] == nil {
		return
	}
	st.revision++
	delete(st.items, key)
	text, _ := json.Marshal(map[string]any{"key": key, "revision": st.revision, "deleted": true})
	st.events = append(st.events, event{time.Now(), st.revision, key, text})
	st.notify()
}

// Put writes a key on behalf of the operator and returns the time of the acknowledgement.
func (st *kvStore) Put(key string, value []byte) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, value, 0)
	return time.Now()
}

// setDown takes the store down, or lets it serve again. While it is down no call is answered, also none
// that began before; leases pause.
func (st *kvStore) setDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down = down; down {
		st.downAt = time.Now()
	} else {
		for _, le := range st.leases {
			le.expires = le.expires.Add(time.Since(st.downAt))
		}
	}
	st.notify()
}

// Get reads a key on behalf of the operator.
func (st *kvStore) Get(key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	if it := st.items[key]; it != nil {
		return string(it.Value)
	}
	return ""
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// silent leaves a call without an answer: it ends when the caller closes its channel.
func silent(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// handler serves the calls of one machine.
func (st *kvStore) handler(vm string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := strings.TrimPrefix(r.URL.Path, "/flamingomast/")
		qu := r.URL.Query()
		if st.onCall != nil {
			st.onCall(vm, path, qu.Get("key")+qu.Get("path_prefix"))
		}
		time.Sleep(storeDelay)
		st.mu.Lock()
		down := st.down
		st.mu.Unlock()
		switch {
		case down:
			silent(r)
		case path == "kv-key":
			st.serveKey(w, qu.Get("key"))
		case path == "kv-range":
			st.serveRange(w, qu.Get("path_prefix"), qu.Get("after"))
		case path == "kv-watch":
			st.serveWatch(w, r, qu.Get("path_prefix"), qu.Get("after"), qu.Get("wait_ms"))
		case path == "kv-txn":
			st.serveTxn(w, r)
		case path == "kv-lease":
			st.serveLease(w, r)
		case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
			_, text, _ := strings.Cut(path, "/")
			id, _ := strconv.ParseInt(text, 10, 64)
			st.serveLeaseCall(w, id, strings.HasPrefix(path, "kv-keep/"))
		default:
			reply(w, 404, map[string]any{})
		}
	})
}

func (st *kvStore) serveKey(w http.ResponseWriter, key string) {
	st.mu.Lock()
	it, rev := st.items[key], st.revision
	st.mu.Unlock()
	if it == nil {
		reply(w, 404, map[string]any{"store_revision": rev})
		return
	}
	reply(w, 200, struct {
		*item
		StoreRevision int64 `json:"store_revision"`
	}{it, rev})
}

func (st *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	items := []*item{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "has_more": more, "store_revision": st.revision})
}

// serveWatch answers as soon as there is an event after the revision, with all events since.
func (st *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix, after, wait string) {
	from, _ := strconv.ParseInt(after, 10, 64)
	ms, _ := strconv.ParseInt(wait, 10, 64)
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		st.mu.Lock()
		if st.down {
			st.mu.Unlock()
			silent(r)
			return
		}
		if from < st.compacted {
			st.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		list := []json.RawMessage{}
		for _, ev := range st.events {
			if ev.revision > from && strings.HasPrefix(ev.key, prefix) {
				list = append(list, ev.text)
			}
		}
		rev, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(list) > 0 {
			reply(w, 200, map[string]any{"events": list, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": list, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (st *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	current, holds := []*item{}, true
	for _, ex := range in.Expect {
		var rev int64
		if it := st.items[ex.Key]; it != nil {
			rev = it.Revision
			current = append(current, it)
		}
		holds = holds && rev == ex.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, pt := range in.Puts {
		if strings.HasPrefix(pt.Key, "op/") || strings.HasPrefix(pt.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if pt.Lease != 0 && st.leases[pt.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, pt := range in.Puts {
		st.put(pt.Key, pt.Value, pt.Lease)
	}
	for _, key := range in.Remove {
		st.remove(key)
	}
	reply(w, 200, map[string]any{"revision": st.revision})
}

func (st *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil || ttl < time.Second {
		ttl = time.Second
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.nextLease++
	st.leases[st.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": st.nextLease, "ttl_time": fmt.Sprintf("%dms", ttl.Milliseconds())})
}

func (st *kvStore) serveLeaseCall(w http.ResponseWriter, id int64, keep bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	le := st.leases[id]
	switch {
	case le == nil:
		reply(w, 404, map[string]any{})
	case keep:
		le.expires = time.Now().Add(le.ttl)
		reply(w, 200, map[string]any{"ttl_time": fmt.Sprintf("%dms", le.ttl.Milliseconds())})
	default:
		st.endLease(id)
		reply(w, 200, map[string]any{})
	}
}
