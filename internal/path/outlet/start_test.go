package outlet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/mesh/member"
	"github.com/flamingomast/flamingomast/internal/path/outlet"
	"github.com/flamingomast/flamingomast/internal/path/pick"
)

// TestStartWait: after all daemons were killed, callers reconnect as soon as the first daemon
// listens, about 100 ms before it has learned of the others. Callers refused for lack of a server
// retry after their objective has passed. Therefore requests wait for the first servers at startup;
// later, a request to a service without servers is refused at once.
func TestStartWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLoadRig(t, 2, anyDomain)
		defer lr.close()
		vw, sn := lr.view()
		starting := outlet.New(outlet.Options{Forwarder: lr.forwarder()})
		lr.front = starting
		began := time.Now()
		time.AfterFunc(50*time.Millisecond, func() { starting.SetTable(pick.Build(sn, pick.Fleet{Members: &member.View{}, Self: "outlet"}, nil)) })
		time.AfterFunc(100*time.Millisecond, func() { starting.SetTable(pick.Build(sn, pick.Fleet{Members: vw, Self: "outlet"}, starting.Table())) })
		ta := &tally{}
		lr.send("/lookup", ta)
		if took := time.Since(began); ta.good != 1 || took < 100*time.Millisecond || took > 200*time.Millisecond {
			t.Errorf("%d answered after %v", ta.good, took)
		}
		empty := outlet.New(outlet.Options{Forwarder: lr.forwarder()})
		empty.SetTable(pick.Build(sn, pick.Fleet{Members: &member.View{}, Self: "outlet"}, nil))
		lr.front = empty
		for _, want := range []time.Duration{200 * time.Millisecond, 0} {
			ta, began = &tally{}, time.Now()
			lr.send("/lookup", ta)
			if took := time.Since(began); ta.notRun != 1 || took != want {
				t.Errorf("%d refused after %v, want %v", ta.notRun, took, want)
			}
			time.Sleep(time.Second)
		}
	})
}
