package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingomast/flamingomast/internal/stat/expo"
)

// Announcement is sent by a backend server to its own daemon to register. It has to be renewed
// before TTL has passed.
type Announcement struct {
	Service string `json:"service"`
	// Address is the listen address of the server; if empty, it is the service's declared port on
	// this VM.
	Address string `json:"address,omitempty"`
	// Software is the server's software version, if known.
	Software string `json:"software,omitempty"`
	// Slots overrides the declared slots when above 0.
	Slots int `json:"slots,omitempty"`
	TTLMs int `json:"ttl-ms,omitempty"`
	// Lifetime identifies this start of the server. Within a lifetime, Number increases with each
	// announcement, so that one that arrives late is recognized.
	Lifetime string `json:"lifetime,omitempty"`
	Number   uint64 `json:"number,omitempty"`
	// StartedMs is the Unix time of the start in milliseconds, 0 if not given. It tells starts
	// apart when a server starts again under the same lifetime and restarts its numbers.
	StartedMs int64 `json:"started-ms,omitempty"`
	// State is StateServing, also if empty, or StateDraining: the server takes no new requests and
	// will stop.
	State string `json:"state,omitempty"`
	// ColdMs is the remaining time in milliseconds for which the server is slow after its start.
	ColdMs int `json:"cold-ms,omitempty"`
}

// Withdrawal is sent by a backend server to its own daemon to deregister: it is to get no more
// requests.
type Withdrawal struct {
	// Lifetime and StartedMs are those of the announcements, each zero if the server does not give
	// it.
	Lifetime  string
	StartedMs int64
}

// States of an announcement.
const (
	StateServing  = "serving"
	StateDraining = "draining"
)

// Draining reports whether the server takes no new requests.
func (an *Announcement) Draining() bool { return an.State == StateDraining }

// Default and bounds of the TTL of an announcement.
const (
	DefaultTTL = 6 * time.Second
	minTTL     = time.Second
	maxTTL     = time.Minute
)

// TTL returns how long the announcement is valid.
func (an *Announcement) TTL() time.Duration {
	if an.TTLMs == 0 {
		return DefaultTTL
	}
	return time.Duration(an.TTLMs) * time.Millisecond
}

// Validate returns the first error found in the announcement, or nil.
func (an *Announcement) Validate() error {
	switch {
	case an.State != "" && an.State != StateServing && an.State != StateDraining:
		return fmt.Errorf("state is %q; set it to %s or %s, or leave it out", an.State, StateServing, StateDraining)
	case an.StartedMs < 0:
		return fmt.Errorf("started-ms is %d; leave it out or set it above 0", an.StartedMs)
	case an.ColdMs < 0:
		return fmt.Errorf("cold-ms is %d; leave it out or set it above 0", an.ColdMs)
	case an.Service == "":
		return fmt.Errorf("service is not set; name the service of the inventory that this server serves")
	case an.Slots < 0:
		return fmt.Errorf("slots is %d; leave it out or set it above 0", an.Slots)
	case an.TTL() < minTTL || an.TTL() > maxTTL:
		return fmt.Errorf("ttl-ms is %d; set it from %d to %d", an.TTLMs, minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
	if an.Address != "" {
		if _, err := netip.ParseAddrPort(an.Address); err != nil {
			return fmt.Errorf("address is %q; set it to an IP address and port", an.Address)
		}
	}
	return nil
}

// Handlers holds the functions that the HTTP endpoints call.
type Handlers struct {
	// Announce registers a backend server, Withdraw deregisters it.
	Announce func(context.Context, Announcement) error
	Withdraw func(context.Context, Withdrawal)
	// OnBadAnnouncement is called when an announcement for a lifetime cannot be decoded or is
	// invalid.
	OnBadAnnouncement func(lifetime string, err error)
	// Ready returns the reason why the daemon is not ready, or nil if it is.
	Ready func() error
	// Status returns the state of the fleet as this daemon knows it.
	Status func(context.Context) Status
	// Drain drains a VM, this one or another, and returns how many requests
	// are still running there.
	Drain func(ctx context.Context, vm string) (int, error)
	// SetLogSample sets the share of requests that is logged.
	SetLogSample func(share float64)
	// Vars are the daemon's metrics.
	Vars *expvar.Map
	// OnWriteError, if set, is called when a response could not be sent, for example because the
	// client has disconnected.
	OnWriteError func(err error)
}

// New returns the HTTP handler of all endpoints.
func New(hs Handlers) http.Handler {
	rt := httprouter.New()
	rt.POST("/announce", hs.announce)
	rt.DELETE("/announce", hs.withdraw)
	rt.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { hs.writeText(w, "ok") })
	rt.GET("/readyz", hs.ready)
	rt.GET("/status", hs.status)
	rt.POST("/drain/:vm", hs.drain)
	rt.PUT("/access-log/:share", hs.sample)
	rt.GET("/debug/vars", hs.vars)
	rt.GET("/metrics", hs.metrics)
	return rt
}

// maxAnnouncementBytes is the size limit of the body of an announcement.
const maxAnnouncementBytes = 4 << 10

func (hs *Handlers) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var an Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&an)
	if err == nil {
		err = an.Validate()
	}
	if err != nil {
		hs.writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := hs.Announce(r.Context(), an); err != nil {
		hs.writeError(w, http.StatusConflict, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (hs *Handlers) withdraw(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hs.Withdraw(r.Context(), Withdrawal{Lifetime: r.URL.Query().Get("lifetime")})
	w.WriteHeader(http.StatusNoContent)
}

func (hs *Handlers) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := hs.Ready(); err != nil {
		hs.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	hs.writeText(w, "ready")
}

func (hs *Handlers) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hs.writeJSON(w, hs.Status(r.Context()))
}

func (hs *Handlers) drain(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	running, err := hs.Drain(r.Context(), ps.ByName("vm"))
	if err != nil {
		hs.writeError(w, http.StatusBadGateway, err)
		return
	}
	hs.writeJSON(w, DrainResult{VM: ps.ByName("vm"), Running: running})
}

func (hs *Handlers) sample(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	share, err := strconv.ParseFloat(ps.ByName("share"), 64)
	if err != nil || !(share >= 0 && share <= 1) {
		hs.writeError(w, http.StatusBadRequest, fmt.Errorf("the share is %q; set it to a number from 0 to 1", ps.ByName("share")))
		return
	}
	hs.SetLogSample(share)
	w.WriteHeader(http.StatusNoContent)
}

// DrainResult is the response to a drain request.
type DrainResult struct {
	VM      string `json:"vm"`
	Running int    `json:"running"`
}

func (hs *Handlers) vars(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\"flamingomast\": %s", hs.Vars)
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	_, _ = fmt.Fprintln(w, "}")
}

func (hs *Handlers) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	if err := expo.Write(w, hs.Vars); err != nil {
		hs.writeError(w, http.StatusInternalServerError, err)
	}
}

func (hs *Handlers) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	hs.reportWrite(json.NewEncoder(w).Encode(v))
}

func (hs *Handlers) writeText(w http.ResponseWriter, line string) {
	_, err := fmt.Fprintln(w, line)
	hs.reportWrite(err)
}

// reportWrite reports an error of writing a response, if any.
func (hs *Handlers) reportWrite(err error) {
	if err != nil && hs.OnWriteError != nil {
		hs.OnWriteError(err)
	}
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

func (hs *Handlers) writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	hs.reportWrite(json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error()}))
}
