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

// machine is one node that is handed packets of a relay in any order.
type machine struct {
	nd       *Node
	pr       *link.Peer
	contents []*pack.Content // by version, from 1
	held     uint64
	records  map[string]member.Record
}

func newMachine(t *rapid.T) *machine {
	ma := &machine{nd: New(Config{VM: "vm-x", Domain: "d0", Control: "x:1"}), records: map[string]member.Record{}}
	ms := sample.Mesh(4, 1, 2)
	for v := range 6 {
		co, err := pack.Encode(sample.Change(ms, v))
		if err != nil {
			t.Fatal(err)
		}
		ma.contents = append(ma.contents, co)
	}
	ma.pr = link.New(link.Stream{Abort: func() {}}, ma.nd.offer)
	ma.pr.Outgoing, ma.pr.Addr = true, "nobody:1"
	ma.nd.handlePacket(ma.pr, &wirepb.Packet{
		Hello:   &wirepb.Hello{Protocol: Protocol, Relay: true, Record: (&member.Record{VM: "vm-r", Domain: "d0", Incarnation: 1}).ToWire()},
		Welcome: &wirepb.Welcome{},
	})
	return ma
}

// version is the packet that offers a version as a delta from another.
func (ma *machine) version(base, next int) *wirepb.Packet {
	dg := ma.contents[next].Digest
	vn := &wirepb.Version{Number: uint64(next + 1), Digest: dg[:]}
	old := (*pack.Content)(nil)
	if base >= 0 {
		old = ma.contents[base]
		vn.Base = old.Digest[:]
	}
	vn.Body = pack.Marshal(pack.Diff(old, ma.contents[next]))
	return &wirepb.Packet{Version: vn}
}

// deliver hands a packet over and brings up to date what the compiler would.
func (ma *machine) deliver(pk *wirepb.Packet) {
	ma.nd.handlePacket(ma.pr, proto.Clone(pk).(*wirepb.Packet))
	if cfg := ma.nd.Board.Latest.Get(); cfg != nil {
		ma.nd.compile(cfg)
	}
}

// check states what must hold after every step.
func (ma *machine) check(t *rapid.T) {
	sn := ma.nd.Board.Held.Get()
	if sn == nil {
		return
	}
	if sn.Version < ma.held {
		t.Fatalf("version %d is held after version %d", sn.Version, ma.held)
	}
	ma.held = sn.Version
	if want := ma.contents[sn.Version-1].Digest; sn.Digest != want {
		t.Fatalf("version %d is held with digest %s, want %s", sn.Version, sn.Digest, want)
	}
	for rc := range ma.nd.Board.Members.Get().All {
		if was, ok := ma.records[rc.VM]; ok && rc.Compare(&was) < 0 {
			t.Fatalf("record %+v came after %+v", rc, was)
		}
		ma.records[rc.VM] = *rc
	}
}

// TestMessages: packets are lost, doubled, late, crossed and damaged. After
// each one the version held is whole and no older than before, and no record
// goes back; once all have come in order, the last version is held.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ma := newMachine(t)
		defer ma.nd.cancel()
		var sent []*wirepb.Packet
		t.Repeat(map[string]func(*rapid.T){
			"": ma.check,
			"version": func(t *rapid.T) {
				next := rapid.IntRange(0, len(ma.contents)-1).Draw(t, "next")
				pk := ma.version(rapid.IntRange(-1, len(ma.contents)-1).Draw(t, "base"), next)
				sent = append(sent, pk)
				ma.deliver(pk)
			},
			"record": func(t *rapid.T) {
				pk := &wirepb.Packet{Records: []*wirepb.Record{(&member.Record{
					VM: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm"), Domain: "d0", State: member.StateServing,
					Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: uint64(rapid.IntRange(1, 3).Draw(t, "sequence")),
					Mark: member.Mark(rapid.IntRange(0, 2).Draw(t, "mark")),
				}).ToWire()}}
				sent = append(sent, pk)
				ma.deliver(pk)
			},
			"again": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent yet")
				}
				ma.deliver(rapid.SampledFrom(sent).Draw(t, "packet"))
			},
			"damaged": func(t *rapid.T) {
				pk := ma.version(rapid.IntRange(-1, 5).Draw(t, "base"), rapid.IntRange(0, 5).Draw(t, "next"))
				i := rapid.IntRange(0, len(pk.Version.Body)-1).Draw(t, "at")
				if rapid.Bool().Draw(t, "cut") {
					pk.Version.Body = pk.Version.Body[:i]
				} else {
					pk.Version.Body[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
				}
				ma.deliver(pk)
			},
			"odd": func(t *rapid.T) {
				ma.deliver(rapid.SampledFrom([]*wirepb.Packet{
					{}, {Version: &wirepb.Version{}}, {Version: &wirepb.Version{Number: 9, Digest: []byte("short")}},
					{Records: []*wirepb.Record{{}}}, {Held: []*wirepb.Held{{}}}, {Summaries: []*wirepb.Summary{{}}},
					{Reach: []*wirepb.Reach{{}}}, {Hashes: []*wirepb.DomainHash{{}}}, {Heard: []string{""}}, {Welcome: &wirepb.Welcome{}},
				}).Draw(t, "packet"))
			},
		})
		last := len(ma.contents) - 1
		for v := -1; v < last; v++ {
			ma.deliver(ma.version(v, v+1))
			ma.check(t)
		}
		if ma.held == 0 {
			return // The first one needs a fetch, which nobody answers here.
		}
		if ma.held != uint64(last+1) {
			t.Fatalf("version %d is held at the end, want %d", ma.held, last+1)
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
		ma := newMachine(t)
		defer ma.nd.cancel()
		ma.nd.adoptVersion(1, ma.contents[0])
		pk := ma.version(0, 1)
		// Field 200, a text.
		pk.ProtoReflect().SetUnknown([]byte{0xc2, 0x0c, 2, 'h', 'i'})
		pk.Version.ProtoReflect().SetUnknown([]byte{0xc2, 0x0c, 2, 'h', 'i'})
		raw, err := proto.Marshal(pk)
		if err != nil {
			t.Fatal(err)
		}
		var back wirepb.Packet
		if err := proto.Unmarshal(raw, &back); err != nil {
			t.Fatal(err)
		}
		ma.deliver(&back)
		if got := ma.nd.Board.HeldVersion(); got != 2 {
			t.Fatalf("version %d is held, want 2", got)
		}
	})
}

// TestFloorSettles: a new process is welcomed by a plain member, which keeps
// nobody's floor, and by a relay that knows what the VM held. Only the relay's
// word may let it take a version, and none below the floor.
func TestFloorSettles(t *testing.T) {
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
