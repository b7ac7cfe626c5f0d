package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvItem is an entry of the platform's store. Value is base64 on the wire.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a stand-in of the platform's metadata store: one revision counter, leases, watches and
// transactions under conditions.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]kvItem
	events  []kvItem
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
}

func newStore() *kvStore {
	st := &kvStore{rev: 1, items: map[string]kvItem{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			st.mu.Lock()
			st.expire(time.Now())
			st.mu.Unlock()
		}
	}()
	return st
}

// expire removes the keys of ended leases. st.mu must be held.
func (st *kvStore) expire(now time.Time) {
	for id, le := range st.leases {
		if now.After(le.end) {
			st.endLease(id)
		}
	}
}

func (st *kvStore) endLease(id int64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.remove(key)
		}
	}
}

func (st *kvStore) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *kvStore) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.rev++
	st.events = append(st.events, kvItem{Key: key, Revision: st.rev, Deleted: true})
	st.wake()
}

func (st *kvStore) put(key string, value []byte, le int64) {
	st.rev++
	it := kvItem{Key: key, Value: value, Revision: st.rev, Created: st.rev, Lease: le}
	if old, ok := st.items[key]; ok {
		it.Created = old.Created
	}
	st.items[key] = it
	st.events = append(st.events, it)
	st.wake()
}

// operatorPut writes a key as the operator does.
func (st *kvStore) operatorPut(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, value, 0)
}

// get returns a copy of an item, for the report of a case.
func (st *kvStore) get(key string) (kvItem, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[key]
	return it, ok
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (st *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const base = "/flamingomast/"
	path, ok := strings.CutPrefix(r.URL.Path, base)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case path == "kv-key":
		st.handleKey(w, r)
	case path == "kv-range":
		st.handleRange(w, r)
	case path == "kv-watch":
		st.handleWatch(w, r)
	case path == "kv-txn":
		st.handleTxn(w, r)
	case path == "kv-lease":
		st.handleLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		st.handleKeep(w, strings.TrimPrefix(path, "kv-keep/"), false)
	case strings.HasPrefix(path, "kv-lease-end/"):
		st.handleKeep(w, strings.TrimPrefix(path, "kv-lease-end/"), true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (st *kvStore) handleKey(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	it, ok := st.items[r.URL.Query().Get("key")]
	rev := st.rev
	st.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		StoreRevision int64 `json:"store_revision"`
	}{it, rev})
}

func (st *kvStore) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	st.mu.Lock()
	list := []kvItem{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	rev := st.rev
	st.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": false, "store_revision": rev})
}

func (st *kvStore) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		st.mu.Lock()
		events := []kvItem{}
		for _, ev := range st.events {
			if ev.Revision > after && strings.HasPrefix(ev.Key, prefix) {
				events = append(events, ev)
			}
		}
		rev, changed := st.rev, st.changed
		st.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
	}
}

func (st *kvStore) handleTxn(w http.ResponseWriter, r *http.Request) {
	var tx struct {
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
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire(time.Now())
	for _, ex := range tx.Expect {
		if st.items[ex.Key].Revision != ex.Revision {
			items := []kvItem{}
			for _, ex := range tx.Expect {
				if it, ok := st.items[ex.Key]; ok {
					items = append(items, it)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, pu := range tx.Puts {
		if pu.Lease != 0 && st.leases[pu.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, pu := range tx.Puts {
		st.put(pu.Key, pu.Value, pu.Lease)
	}
	for _, key := range tx.Remove {
		st.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": st.rev})
}

func (st *kvStore) handleLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL string `json:"ttl_time"`
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(ask.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.nextID++
	st.leases[st.nextID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": st.nextID, "ttl_time": ask.TTL})
}

func (st *kvStore) handleKeep(w http.ResponseWriter, text string, end bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire(time.Now())
	le := st.leases[id]
	switch {
	case err != nil || le == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case end:
		st.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		le.end = time.Now().Add(le.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(le.ttl.Milliseconds(), 10) + "ms"})
	}
}
