package inlet

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/notice"
	"github.com/flamingomast/flamingomast/internal/path/proxy"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/memnet"
)

// noticeRig is an inlet before a backend server that says things about itself, in virtual time.
type noticeRig struct {
	t   *testing.T
	in  *Inlet
	log bytes.Buffer
	// header is what the server sets, status the status of its responses, arrived the requests that
	// it got.
	header  http.Header
	status  int
	arrived int
}

func newNoticeRig(t *testing.T) *noticeRig {
	nr := &noticeRig{t: t, header: http.Header{}, status: http.StatusOK}
	nw := memnet.New()
	host, _ := nw.Listen("inlet:1", "")
	_, ln := nw.Listen("server:1", "")
	hs := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nr.arrived++
		for name, values := range nr.header {
			w.Header()[name] = values
		}
		w.WriteHeader(nr.status)
	})}
	go func() { _ = hs.Serve(ln) }()
	nr.in = New(proxy.Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) { return nw.Dial(ctx, host, addr) }}, nil)
	nr.in.Log = slog.New(slog.NewTextHandler(&nr.log, nil))
	nr.in.Gate.Configure(4, []limit.Class{{Name: "default", Share: 100, Queue: 4}})
	nr.serve("i-1", 0)
	t.Cleanup(func() {
		nr.in.Close()
		_ = hs.Close()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
	return nr
}

// serve sets the instance of the server.
func (nr *noticeRig) serve(lifetime string, startedMs int64) {
	nr.in.SetTarget(Target{VM: "vm", Process: "p", Service: "booking", Addr: "server:1", Lifetime: lifetime, StartedMs: startedMs})
}

// send sends a request that carries what its outlet knows, and returns the reason of a refusal and
// the notice of the response.
func (nr *noticeRig) send(known string) (result.Reason, notice.Notice) {
	nr.t.Helper()
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	for name, value := range map[string]string{
		result.VMHeader: "vm", result.ProcessHeader: "p", result.ServiceHeader: "booking", result.ClassHeader: "default",
		result.UrgencyHeader: "1", result.ServerHeader: known,
	} {
		req.Header.Set(name, value)
	}
	rec := httptest.NewRecorder()
	nr.in.ServeHTTP(rec, req)
	no, _ := notice.Parse(rec.Header().Get(result.ServerHeader))
	return result.Reason(rec.Header().Get(result.ReasonHeader)), no
}

// say sets what the server says from now on.
func (nr *noticeRig) say(limit, leaving string) {
	nr.header = http.Header{}
	if limit != "" {
		nr.header.Set(result.ServerLimitHeader, limit)
	}
	if leaving != "" {
		nr.header.Set(result.ServerLeavingHeader, leaving)
	}
}

// limited reports whether a limit is in force, and which one.
func (nr *noticeRig) limited() (float64, bool) { return nr.in.rate.Limit() }

// answered sends requests until one is not refused.
func (nr *noticeRig) answered() {
	nr.t.Helper()
	for range 100 {
		if re, _ := nr.send(""); re == "" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	nr.t.Fatal("no request is answered within 10 s")
}

// TestInvalidLimitsKeepTheOneInForce guards against a value that cannot be used lifting a limit or
// setting one, and against a log line for each.
func TestInvalidLimitsKeepTheOneInForce(t *testing.T) {
	for _, value := range []string{"NaN", "-1", "Inf", "1e9", "many", "", strings.Repeat("9", 400), "3,4"} {
		synctest.Test(t, func(t *testing.T) {
			nr := newNoticeRig(t)
			nr.header[result.ServerLimitHeader] = []string{value}
			nr.answered()
			if _, ok := nr.limited(); ok {
				t.Errorf("%q sets a limit", value)
			}
			nr.say("5", "")
			nr.answered()
			nr.header[result.ServerLimitHeader] = []string{value}
			for range 3 {
				time.Sleep(time.Second)
				nr.answered()
			}
			if got, ok := nr.limited(); !ok || got != 5 {
				t.Errorf("%q changes the limit of 5 to %v, %v", value, got, ok)
			}
			if n := strings.Count(nr.log.String(), "backend-server-notice-invalid"); n != 1 {
				t.Errorf("%q: %d log lines, want 1:\n%s", value, n, &nr.log)
			}
		})
	}
}

// TestLimitBelongsToOneInstance guards against a new server at the same address being limited by
// what its predecessor said, and against a limit being lost while the same one is away.
func TestLimitBelongsToOneInstance(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(nr *noticeRig)
		want   bool
	}{
		{"the same", func(nr *noticeRig) { nr.serve("i-1", 0) }, true},
		{"its start time becomes known", func(nr *noticeRig) { nr.serve("i-1", 7) }, true},
		{"it is away for a while", func(nr *noticeRig) {
			nr.in.SetTarget(Target{VM: "vm", Process: "p"})
			nr.serve("i-1", 0)
		}, true},
		{"another lifetime", func(nr *noticeRig) { nr.serve("i-2", 0) }, false},
		{"another start under the same lifetime", func(nr *noticeRig) {
			nr.serve("i-1", 7)
			nr.serve("i-1", 8)
		}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			nr := newNoticeRig(t)
			nr.say("2", "")
			nr.answered()
			tc.change(nr)
			if _, ok := nr.limited(); ok != tc.want {
				t.Errorf("%s: limited %v, want %v", tc.name, ok, tc.want)
			}
		})
	}
}

// TestLimitFromOutlets guards against a new process beside a limited server not learning the limit
// from outlets, and against one that is outdated or of another instance being learned.
func TestLimitFromOutlets(t *testing.T) {
	text := func(lifetime string, startedMs int64, leaving bool) string {
		return notice.Notice{Instance: notice.Instance{Lifetime: lifetime, StartedMs: startedMs}, Limit: 3, Limited: true, Leaving: leaving}.String()
	}
	for _, tc := range []struct {
		name, known string
		// heard is set if the server has answered before.
		heard, limited, leaving bool
	}{
		{name: "nothing"},
		{name: "a limit", known: text("i-1", 0, false), limited: true},
		{name: "a limit, after the server was heard", known: text("i-1", 0, false), heard: true},
		{name: "a limit of another instance", known: text("i-0", 0, false)},
		{name: "a limit of another start", known: text("i-1", 6, false)},
		{name: "a departure", known: text("i-1", 7, true), limited: true, leaving: true},
		{name: "a departure, after the server was heard", known: text("i-1", 7, true), heard: true, leaving: true},
		{name: "a departure of another instance", known: text("i-0", 0, true)},
		{name: "invalid text", known: "lifetime=i-1&limit=NaN"},
	} {
		synctest.Test(t, func(t *testing.T) {
			nr := newNoticeRig(t)
			nr.serve("i-1", 7)
			left := 0
			nr.in.Leaving = func(Target) { left++ }
			if tc.heard {
				nr.answered()
			}
			re, no := nr.send(tc.known)
			_, limited := nr.limited()
			if limited != tc.limited || no.Limited != tc.limited || no.Leaving != tc.leaving || (left == 1) != tc.leaving || (re == result.ReasonDraining) != tc.leaving {
				t.Errorf("%s: limited %v, response %q with %+v, reported %d times as leaving", tc.name, limited, re, no, left)
			}
		})
	}
}

// TestRefusalsOfServerDoNotLiftLimit guards against a limit being lifted by responses of a server
// that refuses requests without running them and names no limit there.
func TestRefusalsOfServerDoNotLiftLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nr := newNoticeRig(t)
		nr.say("5", "")
		nr.answered()
		nr.header, nr.status = http.Header{result.NotRunHeader: {"1"}}, http.StatusServiceUnavailable
		time.Sleep(time.Second)
		if re, _ := nr.send(""); re != result.ReasonShed {
			t.Fatalf("refused as %q", re)
		}
		if _, ok := nr.limited(); !ok {
			t.Error("the limit is lifted")
		}
		nr.header, nr.status = http.Header{}, http.StatusOK
		time.Sleep(time.Second)
		nr.answered()
		if _, ok := nr.limited(); ok {
			t.Error("the limit is not lifted by a response that names none")
		}
	})
}

// TestLeavingServerGetsNothing guards against requests to a server that says that it is leaving, and
// against that being revoked by a response that does not say so.
func TestLeavingServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nr := newNoticeRig(t)
		left := 0
		nr.in.Leaving = func(Target) { left++ }
		nr.say("", "1")
		nr.answered()
		nr.say("", "")
		for range 5 {
			if re, no := nr.send(""); re != result.ReasonDraining || !no.Leaving {
				t.Errorf("refused as %q with %+v", re, no)
			}
		}
		if nr.arrived != 1 || left != 1 {
			t.Errorf("%d requests arrived, reported %d times; want 1 and 1", nr.arrived, left)
		}
		nr.serve("i-2", 0)
		if re, no := nr.send(""); re != "" || !no.Empty() {
			t.Errorf("the next instance: refused as %q with %+v", re, no)
		}
	})
}
