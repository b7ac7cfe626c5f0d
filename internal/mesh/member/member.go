package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// Record is one VM's statement about itself. Only its owner changes it, but
// for the mark that a relay adds when it no longer hears the owner.
type Record struct {
	VM     string
	Domain string
	// Incarnation rises with each process of the VM, Sequence with each
	// statement of one process.
	Incarnation, Sequence uint64
	// Nonce tells two processes apart that took the same incarnation.
	Nonce   uint64
	Mark    Mark
	State   State
	Service string
	Slots   int
	// Inlet and Control are addresses (host:port).
	Inlet, Control string
	// Since is when the backend server began to serve.
	Since time.Time
	// Lifetime names the start of the backend server.
	Lifetime string
	// Leaving is the last start of the backend server that said it leaves.
	Leaving Departure
	// ColdUntil is until when it is slow after its start, by the wall clock of
	// the VM.
	ColdUntil time.Time
	// Capacity is the rate of the VM's link in Mbit/s, 0 where it is not known.
	Capacity uint32
	// Software is the version of the backend server's software, where it tells.
	Software string
}

// Departure is a start of a backend server that said it leaves. The zero value is none.
type Departure struct {
	Lifetime string
	// StartedMs is the Unix time in milliseconds of the start, 0 where the server
	// did not tell. A server may start again under the name that it had.
	StartedMs int64
	// Number is the number of the announcement by which it said so.
	Number uint64
}

// Mark is what a relay adds to a record.
type Mark int

// The marks. A mark holds until the owner makes a newer statement.
const (
	// MarkNone means that the owner was heard.
	MarkNone Mark = iota
	// MarkSilent means that it is not heard, which may be the observer's fault.
	MarkSilent
	// MarkGone means that it is taken for dead.
	MarkGone
)

// State is what a daemon says of its backend server.
type State int

// The states.
const (
	// StateAbsent means that no backend server has announced itself.
	StateAbsent State = iota + 1
	// StateServing means that it takes requests.
	StateServing
	// StateDraining means that it takes no new ones.
	StateDraining
	// StateLeft means that the daemon has ended.
	StateLeft
)

// String returns the state in one word.
func (st State) String() string {
	switch st {
	case StateAbsent:
		return "absent"
	case StateServing:
		return "serving"
	case StateDraining:
		return "draining"
	case StateLeft:
		return "left"
	}
	return "unknown"
}

// Compare orders the records of one VM by age. The owner makes no two
// statements with the same numbers, so records that compare equal are equal,
// and taking the highest is commutative, associative and idempotent.
func (rc *Record) Compare(other *Record) int {
	return cmp.Or(
		cmp.Compare(rc.Incarnation, other.Incarnation),
		cmp.Compare(rc.Nonce, other.Nonce),
		cmp.Compare(rc.Sequence, other.Sequence),
		cmp.Compare(rc.Mark, other.Mark),
	)
}

// SameProcess reports whether both records come from one process.
func (rc *Record) SameProcess(other *Record) bool {
	return rc.Incarnation == other.Incarnation && rc.Nonce == other.Nonce
}

// Process names the process of the record's owner.
func (rc *Record) Process() string {
	return strconv.FormatUint(rc.Incarnation, 36) + "-" + strconv.FormatUint(rc.Nonce, 36)
}

// Live reports whether the VM's daemon is taken to be running.
func (rc *Record) Live() bool { return rc.Mark != MarkGone && rc.State != StateLeft }

// Serving reports whether the VM's backend server takes new requests.
func (rc *Record) Serving() bool { return rc.Mark != MarkGone && rc.State == StateServing }

func (rc *Record) hash() uint64 {
	var buf [32 + 64]byte
	b := binary.BigEndian.AppendUint64(buf[:0], rc.Incarnation)
	b = binary.BigEndian.AppendUint64(b, rc.Nonce)
	b = binary.BigEndian.AppendUint64(b, rc.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(rc.Mark))
	return xxhash.Sum64(append(b, rc.VM...))
}

// ToWire returns the record as a message.
func (rc *Record) ToWire() *wirepb.Record {
	pb := &wirepb.Record{
		Vm: rc.VM, Domain: rc.Domain, Incarnation: rc.Incarnation, Sequence: rc.Sequence, Nonce: rc.Nonce,
		Mark: wirepb.Mark(rc.Mark), State: wirepb.State(rc.State), Service: rc.Service, Slots: uint32(rc.Slots),
		Inlet: rc.Inlet, Control: rc.Control, Lifetime: rc.Lifetime, Capacity: rc.Capacity, Software: rc.Software,
		Leaving: rc.Leaving.Lifetime, LeavingStartedMs: rc.Leaving.StartedMs, LeftAt: rc.Leaving.Number,
	}
	if !rc.Since.IsZero() {
		pb.SinceMs = uint64(rc.Since.UnixMilli())
	}
	if !rc.ColdUntil.IsZero() {
		pb.ColdUntilMs = uint64(rc.ColdUntil.UnixMilli())
	}
	return pb
}

// FromWire returns the record of a message.
func FromWire(pb *wirepb.Record) *Record {
	rc := &Record{
		VM: pb.GetVm(), Domain: pb.GetDomain(), Incarnation: pb.GetIncarnation(), Sequence: pb.GetSequence(), Nonce: pb.GetNonce(),
		Mark: Mark(pb.GetMark()), State: State(pb.GetState()), Service: pb.GetService(), Slots: int(pb.GetSlots()),
		Inlet: pb.GetInlet(), Control: pb.GetControl(), Lifetime: pb.GetLifetime(), Capacity: pb.GetCapacity(), Software: pb.GetSoftware(),
		Leaving: Departure{Lifetime: pb.GetLeaving(), StartedMs: pb.GetLeavingStartedMs(), Number: pb.GetLeftAt()},
	}
	if ms := pb.GetColdUntilMs(); ms > 0 {
		rc.ColdUntil = time.UnixMilli(int64(ms))
	}
	if ms := pb.GetSinceMs(); ms > 0 {
		rc.Since = time.UnixMilli(int64(ms))
	}
	return rc
}

// View is an immutable set of records, by VM.
type View struct {
	byVM map[string]*Record
	// LiveByDomain has the live records of each failure domain, sorted by VM.
	LiveByDomain map[string][]*Record
	// LiveControls has the control addresses of the live records.
	LiveControls map[string]bool
	// Hashes sums up all records of each failure domain, for repair.
	Hashes map[string]uint64
}

// Get returns the record of a VM, or nil.
func (vw *View) Get(vm string) *Record {
	if vw == nil {
		return nil
	}
	return vw.byVM[vm]
}

// Len returns how many records there are.
func (vw *View) Len() int {
	if vw == nil {
		return 0
	}
	return len(vw.byVM)
}

// LiveLen returns how many live records there are.
func (vw *View) LiveLen() int {
	if vw == nil {
		return 0
	}
	n := 0
	for _, live := range vw.LiveByDomain {
		n += len(live)
	}
	return n
}

// All calls yield for each record, in no order.
func (vw *View) All(yield func(*Record) bool) {
	if vw == nil {
		return
	}
	for _, rc := range vw.byVM {
		if !yield(rc) {
			return
		}
	}
}

// Live returns the live records of a failure domain.
func (vw *View) Live(domain string) []*Record {
	if vw == nil {
		return nil
	}
	return vw.LiveByDomain[domain]
}

// Merge returns the view with those of the records that are newer than what it
// has, and lists them. It returns vw itself when none is.
func (vw *View) Merge(records []*Record) (*View, []*Record) {
	var news []*Record
	for _, rc := range records {
		if cur := vw.Get(rc.VM); rc.VM != "" && (cur == nil || rc.Compare(cur) > 0) {
			news = append(news, rc)
		}
	}
	if news == nil {
		return vw, nil
	}
	next := &View{byVM: make(map[string]*Record, vw.Len()+len(news))}
	for rc := range vw.All {
		next.byVM[rc.VM] = rc
	}
	for _, rc := range news {
		if cur := next.byVM[rc.VM]; cur == nil || rc.Compare(cur) > 0 {
			next.byVM[rc.VM] = rc
		}
	}
	next.sumUp()
	return next, news
}

// WithoutDead returns the view without the records of VMs that are not live and
// that drop names.
func (vw *View) WithoutDead(drop func(vm string) bool) *View {
	next := &View{byVM: make(map[string]*Record, vw.Len())}
	for rc := range vw.All {
		if rc.Live() || !drop(rc.VM) {
			next.byVM[rc.VM] = rc
		}
	}
	if len(next.byVM) == vw.Len() {
		return vw
	}
	next.sumUp()
	return next
}

// LimitDead returns the view without the oldest of the records that are not
// live, where there are more than spare beyond the number of live ones.
func (vw *View) LimitDead(spare int) *View {
	var dead []*Record
	for rc := range vw.All {
		if !rc.Live() {
			dead = append(dead, rc)
		}
	}
	over := len(dead) - (vw.Len() - len(dead)) - spare
	if over <= 0 {
		return vw
	}
	slices.SortFunc(dead, func(a, b *Record) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	drop := make(map[string]bool, over)
	for _, rc := range dead[:over] {
		drop[rc.VM] = true
	}
	return vw.WithoutDead(func(vm string) bool { return drop[vm] })
}

func (vw *View) sumUp() {
	vw.LiveByDomain = map[string][]*Record{}
	vw.Hashes = map[string]uint64{}
	vw.LiveControls = make(map[string]bool, len(vw.byVM))
	for _, rc := range vw.byVM {
		vw.Hashes[rc.Domain] ^= rc.hash()
		if rc.Live() {
			vw.LiveByDomain[rc.Domain] = append(vw.LiveByDomain[rc.Domain], rc)
			vw.LiveControls[rc.Control] = true
		}
	}
	for _, list := range vw.LiveByDomain {
		slices.SortFunc(list, func(a, b *Record) int { return strings.Compare(a.VM, b.VM) })
	}
}
