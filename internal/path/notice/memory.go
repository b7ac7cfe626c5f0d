package notice

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/plat/mono"
)

// retention is how long a notice is kept after it was last heard. A server that is leaving ends
// within some tens of seconds.
const retention = 10 * time.Minute

// Memory holds the notices of the servers that an outlet sends requests to, by VM. The zero value is
// empty. Its methods are safe for concurrent use; reading takes no lock.
type Memory struct {
	byVM atomic.Pointer[map[string]*Entry]
	mu   sync.Mutex
}

// Entry is a notice in a memory.
type Entry struct {
	Notice
	// Text is the encoded notice.
	Text string
	// heardAt is when it was last heard, in nanoseconds of package mono.
	heardAt atomic.Int64
}

// Get returns the notice of a VM's server, nil if there is none.
func (me *Memory) Get(vm string) *Entry {
	if m := me.byVM.Load(); m != nil {
		return (*m)[vm]
	}
	return nil
}

// Hear records the encoded notice of a VM's server and returns it, or nil if it is invalid.
func (me *Memory) Hear(vm, text string, now time.Time) *Entry {
	if en := me.Get(vm); en != nil && en.Text == text {
		en.heardAt.Store(mono.Nanos(now))
		return en
	}
	no, ok := Parse(text)
	if !ok {
		return nil
	}
	en := &Entry{Notice: no, Text: text}
	en.heardAt.Store(mono.Nanos(now))
	me.update(now, func(m map[string]*Entry) { m[vm] = en })
	return en
}

// Lift records that a response of a VM's server, to a request sent at sentAt, carried no notice, and
// reports whether a limit was lifted by that. A response to a request that was sent before the
// notice was last heard may be older. A departure is never revoked.
func (me *Memory) Lift(vm string, sentAt, now time.Time) bool {
	en := me.Get(vm)
	if en == nil || en.Leaving || mono.Nanos(sentAt) <= en.heardAt.Load() {
		return false
	}
	me.update(now, func(m map[string]*Entry) {
		if m[vm] == en {
			delete(m, vm)
		}
	})
	return true
}

// update replaces the map by a changed copy without the entries that have expired.
func (me *Memory) update(now time.Time, fn func(map[string]*Entry)) {
	me.mu.Lock()
	defer me.mu.Unlock()
	next := map[string]*Entry{}
	if m := me.byVM.Load(); m != nil {
		next = maps.Clone(*m)
	}
	oldest := mono.Nanos(now.Add(-retention))
	maps.DeleteFunc(next, func(_ string, en *Entry) bool { return en.heardAt.Load() < oldest })
	fn(next)
	me.byVM.Store(&next)
}
