package link

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// maxEnds is how many reports of requests that servers ended under wait on a link; of
// more the peer hears by another way, or not before the next end.
const maxEnds = 4096

// SendCrashReports sends reports of requests under which servers ended, at once: until they have
// come, the request may end one more server behind the peer.
func (pr *Peer) SendCrashReports(list []poison.Report) {
	if len(list) == 0 {
		return
	}
	pr.change(func() {
		if pr.ends == nil {
			pr.ends = map[poison.Report]bool{}
		}
		for _, re := range list {
			if len(pr.ends) < maxEnds {
				pr.ends[re] = true
			}
		}
		pr.now = true
	})
}

// packEnds puts the requests of one end together.
func packEnds(ends map[poison.Report]bool, now time.Time) (list []*wirepb.ServerEnd) {
	type kind struct {
		end      poison.CrashID
		answered bool
	}
	of := map[kind]*wirepb.ServerEnd{}
	for re := range ends {
		ki := kind{re.Crash, re.Answered}
		se := of[ki]
		if se == nil {
			se = &wirepb.ServerEnd{End: uint64(re.Crash), AgeMs: uint64(max(0, now.Sub(re.At).Milliseconds())), Answered: re.Answered}
			of[ki] = se
			list = append(list, se)
		}
		se.Heads, se.Keys = append(se.Heads, re.Head), append(se.Keys, uint64(re.Key))
	}
	return list
}

// CrashReports returns the reports of a packet. A statement of which the parts do not belong
// together says nothing.
func CrashReports(pk *wirepb.Packet, now time.Time) (list []poison.Report) {
	for _, se := range pk.Ends {
		if len(se.Heads) != len(se.Keys) {
			continue
		}
		age := time.Duration(min(se.AgeMs, uint64(maxAge.Milliseconds()))) * time.Millisecond
		for i, head := range se.Heads {
			list = append(list, poison.Report{
				Head: head, Key: ident.Key(se.Keys[i]), Crash: poison.CrashID(se.End), At: now.Add(-age), Answered: se.Answered,
			})
		}
	}
	return list
}

// maxAge stands for all ages beyond it, far above that up to which a report counts.
const maxAge = 24 * time.Hour
