package link

import (
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/poison"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/path/ident"
)

// maxCrashReports is the number of crash reports that may wait on a link. Reports beyond it are
// dropped: the peer receives them over another link, or only after the next crash.
const maxCrashReports = 4096

// SendCrashReports sends crash reports without delay. Until they arrive, a poison request may
// crash one more server behind the peer.
func (pr *Peer) SendCrashReports(list []poison.Report) {
	if len(list) == 0 {
		return
	}
	pr.enqueue(func() {
		if pr.crashes == nil {
			pr.crashes = map[poison.Report]bool{}
		}
		for _, re := range list {
			if len(pr.crashes) < maxCrashReports {
				pr.crashes[re] = true
			}
		}
		pr.sendNow = true
	})
}

// groupCrashes combines reports into one message per crash, with separate messages for answered
// and unanswered requests.
func groupCrashes(crashes map[poison.Report]bool, now time.Time) (list []*wirepb.ServerEnd) {
	type groupKey struct {
		crash    poison.CrashID
		answered bool
	}
	groups := map[groupKey]*wirepb.ServerEnd{}
	for re := range crashes {
		gk := groupKey{re.Crash, re.Answered}
		se := groups[gk]
		if se == nil {
			se = &wirepb.ServerEnd{End: uint64(re.Crash), AgeMs: uint64(max(0, now.Sub(re.At).Milliseconds())), Answered: re.Answered}
			groups[gk] = se
			list = append(list, se)
		}
		se.Heads, se.Keys = append(se.Heads, re.Head), append(se.Keys, uint64(re.Key))
	}
	return list
}

// CrashReports returns the crash reports of a packet. It skips malformed messages, whose lists
// of heads and keys differ in length.
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

// maxAge caps the ages that a peer states. It is far above the age up to which a report counts.
const maxAge = 24 * time.Hour
