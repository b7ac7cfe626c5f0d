package ctrl

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// stateMachine is one node that is handed packets of a relay in any order.
type stateMachine struct {
	nd       *Node
	pr       *link.Peer
	contents []*pack.Content // by version, from 1
	held     uint64
	records  map[string]member.Record
}

func newStateMachine(t *rapid.T) *stateMachine {
	sm := &stateMachine{nd: New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"}), records: map[string]member.Record{}}
	ms := sample.Mesh(4, 1, 2)
	for v := range 6 {
		co, err := pack.Encode(sample.Change(ms, v))
		if err != nil {
			t.Fatal(err)
		}
		sm.contents = append(sm.contents, co)
	}
	sm.pr = link.New(link.Stream{Abort: func() {}}, sm.nd.offer)
	sm.pr.Outgoing, sm.pr.Addr = true, "nobody:1"
	sm.nd.handlePacket(sm.pr, &wirepb.Packet{
		Hello:   &wirepb.Hello{Protocol: Protocol, Relay: true, Record: (&member.Record{VM: "vm-r", Domain: "d0", Incarnation: 1}).ToWire()},
		Welcome: &wirepb.Welcome{},
	})
	return sm
}

// versionPacket is the packet that offers a version as a delta from another.
func (sm *stateMachine) versionPacket(base, next int) *wirepb.Packet {
	dg := sm.contents[next].Digest
	vn := &wirepb.Version{Number: uint64(next + 1), Digest: dg[:]}
	from := (*pack.Content)(nil)
	if base >= 0 {
		from = sm.contents[base]
		vn.Base = from.Digest[:]
	}
	vn.Body = pack.Marshal(pack.Diff(from, sm.contents[next]))
	return &wirepb.Packet{Version: vn}
}

// deliver hands a packet over and brings up to date what the compiler would.
func (sm *stateMachine) deliver(pk *wirepb.Packet) {
	sm.nd.handlePacket(sm.pr, proto.Clone(pk).(*wirepb.Packet))
	if cfg := sm.nd.Board.Latest.Get(); cfg != nil {
		sm.nd.compile(cfg)
	}
}

// check states what must hold after every step.
func (sm *stateMachine) check(t *rapid.T) {
	sn := sm.nd.Board.Held.Get()
	if sn == nil {
		return
	}
	if sn.Version < sm.held {
		t.Fatalf("version %d is held after version %d", sn.Version, sm.held)
	}
	sm.held = sn.Version
	if want := sm.contents[sn.Version-1].Digest; sn.Digest != want {
		t.Fatalf("version %d is held with digest %s, want %s", sn.Version, sn.Digest, want)
	}
	for rc := range sm.nd.Board.Members.Get().All {
		if prev, ok := sm.records[rc.VM]; ok && rc.Compare(&prev) < 0 {
			t.Fatalf("record %+v came after %+v", rc, prev)
		}
		sm.records[rc.VM] = *rc
	}
}

// TestPacketFaults: packets are lost, doubled, late, crossed and damaged. After
// each one the version held is whole and no older than before, and no record
// goes back; once all have come in order, the last version is held.
func TestPacketFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newStateMachine(t)
		defer sm.nd.cancel()
		var sent []*wirepb.Packet
		t.Repeat(map[string]func(*rapid.T){
			"": sm.check,
			"version": func(t *rapid.T) {
				next := rapid.IntRange(0, len(sm.contents)-1).Draw(t, "next")
				pk := sm.versionPacket(rapid.IntRange(-1, len(sm.contents)-1).Draw(t, "base"), next)
				sent = append(sent, pk)
				sm.deliver(pk)
			},
			"record": func(t *rapid.T) {
				pk := &wirepb.Packet{Records: []*wirepb.Record{(&member.Record{
					VM: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm"), Domain: "d0", State: member.StateServing,
					Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: uint64(rapid.IntRange(1, 3).Draw(t, "sequence")),
					Mark: member.Mark(rapid.IntRange(0, 2).Draw(t, "mark")),
				}).ToWire()}}
				sent = append(sent, pk)
				sm.deliver(pk)
			},
			"again": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent yet")
				}
				sm.deliver(rapid.SampledFrom(sent).Draw(t, "packet"))
			},
			"damaged": func(t *rapid.T) {
				pk := sm.versionPacket(rapid.IntRange(-1, 5).Draw(t, "base"), rapid.IntRange(0, 5).Draw(t, "next"))
				i := rapid.IntRange(0, len(pk.Version.Body)-1).Draw(t, "at")
				if rapid.Bool().Draw(t, "cut") {
					pk.Version.Body = pk.Version.Body[:i]
				} else {
					pk.Version.Body[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
				}
				sm.deliver(pk)
			},
			"odd": func(t *rapid.T) {
				sm.deliver(rapid.SampledFrom([]*wirepb.Packet{
					{}, {Version: &wirepb.Version{}}, {Version: &wirepb.Version{Number: 9, Digest: []byte("short")}},
					{Records: []*wirepb.Record{{}}}, {Held: []*wirepb.Held{{}}}, {Summaries: []*wirepb.Summary{{}}},
					{Reach: []*wirepb.Reach{{}}}, {Hashes: []*wirepb.DomainHash{{}}}, {Heard: []string{""}}, {Welcome: &wirepb.Welcome{}},
				}).Draw(t, "packet"))
			},
		})
		last := len(sm.contents) - 1
		for v := -1; v < last; v++ {
			sm.deliver(sm.versionPacket(v, v+1))
			sm.check(t)
		}
		if sm.held == 0 {
			return // The first one needs a fetch, which nobody answers here.
		}
		if sm.held != uint64(last+1) {
			t.Fatalf("version %d is held at the end, want %d", sm.held, last+1)
		}
	})
}

// TestOfferOrder: offers in any order leave the highest on the board.
func TestOfferOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bd board.Board
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 9).Draw(t, "versions")
		for _, v := range versions {
			bd.Offer(&board.Config{Version: v})
		}
		if got := bd.LatestVersion(); got != slices.Max(versions) {
			t.Fatal(fmt.Sprint("latest is ", got))
		}
	})
}

// TestNewerPeer: a peer of a newer release sends fields that this one does not
// know, beside a version that it does. The version is taken all the same.
func TestNewerPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newStateMachine(t)
		defer sm.nd.cancel()
		sm.nd.adoptVersion(1, sm.contents[0])
		pk := sm.versionPacket(0, 1)
		// Field 200, a text.
		pk.ProtoReflect().SetUnknown([]byte{0xc2, 0x0c, 2, 'h', 'i'})
		pk.Version.ProtoReflect().SetUnknown([]byte{0xc2, 0x0c, 2, 'h', 'i'})
		raw, err := proto.Marshal(pk)
		if err != nil {
			t.Fatal(err)
		}
		var decoded wirepb.Packet
		if err := proto.Unmarshal(raw, &decoded); err != nil {
			t.Fatal(err)
		}
		sm.deliver(&decoded)
		if got := sm.nd.Board.HeldVersion(); got != 2 {
			t.Fatalf("version %d is held, want 2", got)
		}
	})
}

// TestOnlyRelaySettlesFloor: a new process is welcomed by a plain member, which keeps
// nobody's floor, and by a relay that knows what the VM held. Only the relay's
// word may let it take a version, and none below the floor.
func TestOnlyRelaySettlesFloor(t *testing.T) {
	nd := New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"})
	defer nd.cancel()
	welcome := func(vm string, relay bool, floor uint64) *board.Floor {
		pr := link.New(link.Stream{Abort: func() {}}, nd.offer)
		pr.Outgoing = true
		nd.handlePacket(pr, &wirepb.Packet{
			Hello:   &wirepb.Hello{Relay: relay, Latest: 2, Record: (&member.Record{VM: vm, Domain: "d0", Incarnation: 1}).ToWire()},
			Welcome: &wirepb.Welcome{Floor: floor},
		})
		return nd.Board.Floor.Get()
	}
	if fl := welcome("vm-m", false, 0); fl.Settled || fl.Version != 2 {
		t.Errorf("after a plain member's word: %+v", fl)
	}
	if fl := welcome("vm-r", true, 5); !fl.Settled || fl.Version != 5 {
		t.Errorf("after a relay's word: %+v", fl)
	}
}
