package demo

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/admin"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// IDHeader is the header that identifies a request, by which a server counts how often it ran.
const IDHeader = "Request-Id"

// RunCounter counts how often each request ran on any of the servers that share it.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// CountRun counts a run of a request.
func (rc *RunCounter) CountRun(id string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.runs == nil {
		rc.runs = map[string]int{}
	}
	rc.runs[id]++
}

// Duplicates returns how many requests ran more than once.
func (rc *RunCounter) Duplicates() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	n := 0
	for _, times := range rc.runs {
		if times > 1 {
			n++
		}
	}
	return n
}

// RunEvent is the output line for a request that a server began to run.
type RunEvent struct {
	ID string `json:"ran"`
}

// ServedByHeader is the header that names the VM whose server sent a response.
const ServedByHeader = "Served-By"

// Server is a small backend server. Its response has the name of its VM, and the
// method, path and body of the request.
type Server struct {
	VM, Service string
	// Listen is the address to serve, Admin the admin address of the VM's daemon.
	Listen, Admin string
	// ServiceTime is the mean time that a request takes.
	ServiceTime time.Duration
	RunCounter  *RunCounter
	// Software is the software version that it announces, empty for none.
	Software string
	// FailureRate is the share, 0 to 1, of the requests that it answers with 500, among those
	// whose path begins with FailurePath, once it has run for FailureDelay.
	FailureRate  float64
	FailurePath  string
	FailureDelay time.Duration
	started      time.Time
	// RateLimit is the rate limit that it names in its responses, empty for none.
	RateLimit string
	// LeavingDelay is how long after its start it says in its responses that it is leaving, 0 for
	// never.
	LeavingDelay time.Duration
	// lifetime identifies the run, announcements counts those that were sent.
	lifetime      string
	announcements uint64
	// Calls is the service that it calls once for each request, through the outlet at Outlet.
	// It answers a request whose call fails with 500.
	Calls, Outlet string
	// OnRun, if set, is called for each request that it begins to run.
	OnRun func(RunEvent)
	// Fault, if set, is the faulty behavior that replaces its responses.
	Fault faulty.Handler
}

// ServeHTTP answers one request.
func (sr *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(IDHeader); id != "" && sr.RunCounter != nil {
		sr.RunCounter.CountRun(id)
		if sr.OnRun != nil {
			sr.OnRun(RunEvent{ID: id})
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	if sr.ServiceTime > 0 {
		select {
		case <-time.After(sr.ServiceTime/2 + rand.N(sr.ServiceTime)):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(ServedByHeader, sr.VM)
	sr.setNotice(w.Header())
	if sr.shouldFail(r.URL.Path) {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if err := sr.call(r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s\n", sr.VM, r.Method, r.URL.Path, body)
}

// setNotice sets the headers of a response by which the server limits its rate or says that it is
// leaving.
func (sr *Server) setNotice(hdr http.Header) {
	if sr.RateLimit != "" {
		hdr.Set(result.ServerLimitHeader, sr.RateLimit)
	}
	if sr.LeavingDelay > 0 && time.Since(sr.started) >= sr.LeavingDelay {
		hdr.Set(result.ServerLeavingHeader, "1")
	}
}

// call calls the service Calls, if set, for a request.
func (sr *Server) call(r *http.Request) error {
	if sr.Calls == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+sr.Outlet+r.URL.Path+".call", nil)
	if err != nil {
		return err
	}
	req.Host = sr.Calls
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("call to service %s failed: %s", sr.Calls, res.Status)
	}
	return nil
}

// shouldFail decides at random, by FailureRate, whether to fail a request for a path.
func (sr *Server) shouldFail(path string) bool {
	return sr.FailureRate > 0 && time.Since(sr.started) >= sr.FailureDelay && strings.HasPrefix(path, sr.FailurePath) && rand.Float64() < sr.FailureRate
}

// announceInterval is how often a server renews its announcement.
const announceInterval = 2 * time.Second

// Run serves and announces itself until ctx ends; then it withdraws the announcement and waits
// for running requests.
func (sr *Server) Run(ctx context.Context) error {
	sr.started, sr.lifetime = time.Now(), crand.Text()
	ln, err := net.Listen("tcp", sr.Listen)
	if err != nil {
		return err
	}
	hs := &http.Server{Handler: sr, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	if sr.Fault != nil {
		defer faulty.Serve(ln, sr.Fault).Close()
	} else {
		go func() { served <- hs.Serve(ln) }()
	}
	delay := time.Duration(0)
	for {
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
			return sr.stop(hs)
		case <-time.After(delay):
		}
		delay = announceInterval
		if sr.announce(ctx, http.MethodPost, ln.Addr().String()) != nil {
			delay = announceInterval / 10
		}
	}
}

func (sr *Server) stop(hs *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = sr.announce(ctx, http.MethodDelete, "")
	return hs.Shutdown(ctx)
}

func (sr *Server) announce(ctx context.Context, method, addr string) error {
	sr.announcements++
	body, err := json.Marshal(admin.Announcement{
		Service: sr.Service, Address: addr, Software: sr.Software,
		Lifetime: sr.lifetime, Number: sr.announcements,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+sr.Admin+"/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		return fmt.Errorf("announcement to the daemon failed: %s: %s", res.Status, text)
	}
	return nil
}
