package ctrl

import (
	"expvar"

	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// countSent counts the bytes of a sent packet by kind and by whether they leave the failure domain.
// The framing shared by the fields of a packet is not counted.
func (nd *Node) countSent(pr *link.Peer, pk *wirepb.Packet) {
	scope := "within/"
	nd.mu.Lock()
	if pr.Record != nil && pr.Record.Domain != nd.cf.Domain {
		scope = "across/"
	}
	nd.mu.Unlock()
	add := func(kind string, n int) {
		if n > 0 {
			nd.Traffic.Add(scope+kind, int64(n))
		}
	}
	add("hello", sizeOf(pk.Hello)+sizeOf(pk.Welcome))
	add("versions", sizeOf(pk.Version))
	add("records", len(pk.PackedRecords)+sizeOfAll(pk.Records))
	add("held", sizeOfAll(pk.Held))
	add("summaries", sizeOfAll(pk.Summaries))
	add("reach", sizeOfAll(pk.Reach)+sizeOfAll(pk.Hashes))
	add("ends", sizeOfAll(pk.Ends))
	add("usage", sizeOfAll(pk.Usages)+sizeOf(pk.Directive))
	heard := 0
	for _, vm := range pk.Heard {
		heard += len(vm) + fieldOverhead
	}
	add("heard", heard)
	nd.Traffic.Add(scope+"packets", 1)
}

// fieldOverhead is the size of the key and length of a short field on the wire.
const fieldOverhead = 2

func sizeOf[M proto.Message](ms M) int { return proto.Size(ms) }

func sizeOfAll[M proto.Message](list []M) (n int) {
	for _, ms := range list {
		n += proto.Size(ms) + fieldOverhead
	}
	return n
}

// newTraffic returns an empty map of byte counts.
func newTraffic() *expvar.Map { return new(expvar.Map).Init() }
