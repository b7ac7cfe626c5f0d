package demo

import (
	"bytes"
	"context"
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
	"github.com/flamingomast/flamingomast/internal/plat/faulty"
)

// IDHeader names a request, so that a server counts how often it ran.
const IDHeader = "Request-Id"

// RunCounter counts how often each request ran, over all servers that share it.
type RunCounter struct {
	mu  sync.Mutex
	ran map[string]int
}

// Run notes that a request runs.
func (le *RunCounter) Run(id string) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if le.ran == nil {
		le.ran = map[string]int{}
	}
	le.ran[id]++
}

// Doubled returns how many requests ran more than once.
func (le *RunCounter) Doubled() int {
	le.mu.Lock()
	defer le.mu.Unlock()
	n := 0
	for _, times := range le.ran {
		if times > 1 {
			n++
		}
	}
	return n
}

// RunEvent is a line that says that a request began.
type RunEvent struct {
	ID string `json:"ran"`
}

// ServedByHeader names the VM whose server gave an answer.
const ServedByHeader = "Served-By"

// Server is a small backend server. It answers with the name of its VM and the
// body that it got.
type Server struct {
	VM, Service string
	// Listen is where it serves, Admin the admin address of its daemon.
	Listen, Admin string
	// ServiceTime is the mean time that a request takes.
	ServiceTime time.Duration
	RunCounter  *RunCounter
	// Software is the version that it announces, empty for none.
	Software string
	// FailureRate is the share of the requests, 0 to 1, that it answers with 500: those whose
	// path begins with FailurePath, once it has run for FailureDelay.
	FailureRate  float64
	FailurePath  string
	FailureDelay time.Duration
	started      time.Time
	// Calls is the service that it calls once for each request, by the outlet at Outlet;
	// a request whose call fails is answered with 500.
	Calls, Outlet string
	// OnRun, if set, is called for each request that it begins.
	OnRun func(RunEvent)
	// Fault, when set, is how it fails in place of answering.
	Fault faulty.Handler
}

// ServeHTTP answers one request.
func (sr *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(IDHeader); id != "" && sr.RunCounter != nil {
		sr.RunCounter.Run(id)
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
	if sr.fails(r.URL.Path) {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if err := sr.call(r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s\n", sr.VM, r.Method, r.URL.Path, body)
}

// call makes the call of a request, if there is one to make.
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
		return fmt.Errorf("calling %s: %s", sr.Calls, res.Status)
	}
	return nil
}

// fails reports whether it fails a request for a path.
func (sr *Server) fails(path string) bool {
	return sr.FailureRate > 0 && time.Since(sr.started) >= sr.FailureDelay && strings.HasPrefix(path, sr.FailurePath) && rand.Float64() < sr.FailureRate
}

// announceEvery is how often a server renews its announcement.
const announceEvery = 2 * time.Second

// Run serves and announces itself until ctx ends; then it withdraws and waits
// for running requests.
func (sr *Server) Run(ctx context.Context) error {
	sr.started = time.Now()
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
	wait := time.Duration(0)
	for {
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
			return sr.stop(hs)
		case <-time.After(wait):
		}
		wait = announceEvery
		if sr.announce(ctx, http.MethodPost, ln.Addr().String()) != nil {
			wait = announceEvery / 10
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
	body, err := json.Marshal(admin.Announcement{Service: sr.Service, Address: addr, Software: sr.Software})
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
		return fmt.Errorf("announcing: %s: %s", res.Status, text)
	}
	return nil
}
