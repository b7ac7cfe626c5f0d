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

// Record is the membership record of a VM. Only the owner, the daemon of that VM, changes it;
// a relay only adds a mark when it no longer receives messages from the owner.
type Record struct {
	VM     string
	Domain string
	// Incarnation increases with each daemon process of the VM, Sequence with each record that
	// one process publishes.
	Incarnation, Sequence uint64
	// Nonce distinguishes two processes that chose the same incarnation.
	Nonce   uint64
	Mark    Mark
	State   State
	Service string
	Slots   int
	// Inlet and Control are addresses (host:port).
	Inlet, Control string
	// Since is when the backend server started serving.
	Since time.Time
	// Lifetime identifies the current process of the backend server.
	Lifetime string
	// Leaving is the last process of the backend server that announced its departure.
	Leaving Departure
	// ColdUntil is the end of the backend server's warm-up, by the wall clock of the VM.
	ColdUntil time.Time
	// Capacity is the rate of the VM's link in Mbit/s, 0 if unknown.
	Capacity uint32
	// Software is the version of the backend server's software, empty if it reports none.
	Software string
}

// Departure identifies a process of a backend server that announced that it is leaving. The
// zero value means none.
type Departure struct {
	Lifetime string
	// StartedMs is the Unix start time in milliseconds, 0 if the server did not report it. It
	// is needed since a restarted server may reuse its Lifetime.
	StartedMs int64
	// Number is the number of the announcement in which it said so.
	Number uint64
}

// Mark is the liveness assessment that a relay adds to a record.
type Mark int

// The marks. A mark holds until the owner publishes a newer record.
const (
	// MarkNone means that the owner is alive.
	MarkNone Mark = iota
	// MarkSilent means that nothing is received from the owner, possibly because the observer
	// itself is isolated.
	MarkSilent
	// MarkGone means that the owner is considered dead.
	MarkGone
)

// State is the state of a VM's backend server as its daemon publishes it.
type State int

// The states.
const (
	// StateAbsent means that no backend server has announced itself.
	StateAbsent State = iota + 1
	// StateServing means that the backend server accepts requests.
	StateServing
	// StateDraining means that the backend server accepts no new requests.
	StateDraining
	// StateLeft means that the daemon has shut down.
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

// Compare orders the records of one VM from oldest to newest. The owner never publishes two
// records with the same numbers, so records that compare equal are equal, and taking the
// highest is commutative, associative and idempotent.
func (rc *Record) Compare(other *Record) int {
	return cmp.Or(
		cmp.Compare(rc.Incarnation, other.Incarnation),
		cmp.Compare(rc.Nonce, other.Nonce),
		cmp.Compare(rc.Sequence, other.Sequence),
		cmp.Compare(rc.Mark, other.Mark),
	)
}

// SameProcess reports whether both records come from the same daemon process.
func (rc *Record) SameProcess(other *Record) bool {
	return rc.Incarnation == other.Incarnation && rc.Nonce == other.Nonce
}

// Process returns an identifier of the daemon process that owns the record.
func (rc *Record) Process() string {
	return strconv.FormatUint(rc.Incarnation, 36) + "-" + strconv.FormatUint(rc.Nonce, 36)
}

// Live reports whether the VM's daemon is considered running.
func (rc *Record) Live() bool { return rc.Mark != MarkGone && rc.State != StateLeft }

// Serving reports whether the VM's backend server accepts new requests.
func (rc *Record) Serving() bool { return rc.Mark != MarkGone && rc.State == StateServing }

func (rc *Record) hash() uint64 {
	var buf [32 + 64]byte
	b := binary.BigEndian.AppendUint64(buf[:0], rc.Incarnation)
	b = binary.BigEndian.AppendUint64(b, rc.Nonce)
	b = binary.BigEndian.AppendUint64(b, rc.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(rc.Mark))
	return xxhash.Sum64(append(b, rc.VM...))
}

// ToWire converts the record to its protobuf message.
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

// FromWire converts a protobuf message to a record.
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

// View is an immutable set of records with one record per VM. The nil View is empty.
type View struct {
	byVM map[string]*Record
	// LiveByDomain holds the live records of each failure domain, sorted by VM.
	LiveByDomain map[string][]*Record
	// LiveControls holds the control addresses of the live records.
	LiveControls map[string]bool
	// Hashes holds a hash over all records of each failure domain, by which relays find out
	// that their records differ.
	Hashes map[string]uint64
}

// Get returns the record of a VM, or nil if there is none.
func (vw *View) Get(vm string) *Record {
	if vw == nil {
		return nil
	}
	return vw.byVM[vm]
}

// Len returns the number of records.
func (vw *View) Len() int {
	if vw == nil {
		return 0
	}
	return len(vw.byVM)
}

// LiveLen returns the number of live records.
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

// All iterates over the records in no particular order.
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

// Live returns the live records of a failure domain, sorted by VM.
func (vw *View) Live(domain string) []*Record {
	if vw == nil {
		return nil
	}
	return vw.LiveByDomain[domain]
}

// Merge returns a view that includes those of the given records that are newer than the ones
// in vw, and the list of these newer records. It returns vw itself if there are none.
func (vw *View) Merge(records []*Record) (*View, []*Record) {
	var newer []*Record
	for _, rc := range records {
		if cur := vw.Get(rc.VM); rc.VM != "" && (cur == nil || rc.Compare(cur) > 0) {
			newer = append(newer, rc)
		}
	}
	if newer == nil {
		return vw, nil
	}
	next := &View{byVM: make(map[string]*Record, vw.Len()+len(newer))}
	for rc := range vw.All {
		next.byVM[rc.VM] = rc
	}
	for _, rc := range newer {
		if cur := next.byVM[rc.VM]; cur == nil || rc.Compare(cur) > 0 {
			next.byVM[rc.VM] = rc
		}
	}
	next.buildIndexes()
	return next, newer
}

// WithoutDead returns the view without the records that are not live and for whose VM drop
// returns true.
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
	next.buildIndexes()
	return next
}

// LimitDead drops the oldest records that are not live, so that at most spare more of them
// remain than there are live ones.
func (vw *View) LimitDead(spare int) *View {
	var dead []*Record
	for rc := range vw.All {
		if !rc.Live() {
			dead = append(dead, rc)
		}
	}
	excess := len(dead) - (vw.Len() - len(dead)) - spare
	if excess <= 0 {
		return vw
	}
	slices.SortFunc(dead, func(a, b *Record) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	drop := make(map[string]bool, excess)
	for _, rc := range dead[:excess] {
		drop[rc.VM] = true
	}
	return vw.WithoutDead(func(vm string) bool { return drop[vm] })
}

// buildIndexes computes the exported fields from byVM.
func (vw *View) buildIndexes() {
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
