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

// Announcement is how a backend server tells its own daemon that it serves.
// It must be renewed before TTL has passed.
type Announcement struct {
	Service string `json:"service"`
	// Address is where it listens; empty stands for the service's declared
	// port on this VM.
	Address string `json:"address,omitempty"`
	// Software is the version of its software, where it tells.
	Software string `json:"software,omitempty"`
	// Slots overrides the declared slots when above 0.
	Slots int `json:"slots,omitempty"`
	TTLMs int `json:"ttl-ms,omitempty"`
	// Lifetime names this start of the server. With it, Number rises with each
	// announcement, so that one that comes late is known as such.
	Lifetime string `json:"lifetime,omitempty"`
	Number   uint64 `json:"number,omitempty"`
	// StartedMs is the Unix time in milliseconds of the start. A server may start
	// again under the same lifetime, and number its announcements anew; 0 where it
	// does not tell.
	StartedMs int64 `json:"started-ms,omitempty"`
	// State is StateServing, which the empty string stands for, or
	// StateDraining: it takes no new requests and will leave.
	State string `json:"state,omitempty"`
	// ColdMs is how much longer the server is slow after its start.
	ColdMs int `json:"cold-ms,omitempty"`
}

// Withdrawal is how a backend server tells its own daemon that it is to get no more
// requests.
type Withdrawal struct {
	// Lifetime and StartedMs are those of the announcements, each empty where the
	// server does not tell.
	Lifetime  string
	StartedMs int64
}

// The states of an announcement.
const (
	StateServing  = "serving"
	StateDraining = "draining"
)

// Draining reports whether the server takes no new requests.
func (an *Announcement) Draining() bool { return an.State == StateDraining }

// The bounds of an announcement's time.
const (
	DefaultTTL = 6 * time.Second
	minTTL     = time.Second
	maxTTL     = time.Minute
)

// TTL returns for how long the announcement holds.
func (an *Announcement) TTL() time.Duration {
	if an.TTLMs == 0 {
		return DefaultTTL
	}
	return time.Duration(an.TTLMs) * time.Millisecond
}

// Validate returns what is wrong with the announcement.
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
			return fmt.Errorf("address is %q; set it to an IP number and a port", an.Address)
		}
	}
	return nil
}

// Handlers are what the pages call.
type Handlers struct {
	// Announce and Withdraw take a backend server in and out.
	Announce func(context.Context, Announcement) error
	Withdraw func(context.Context, Withdrawal)
	// OnBadAnnouncement notes what was announced for a lifetime and cannot be read or is wrong.
	OnBadAnnouncement func(lifetime string, err error)
	// Ready returns why the daemon is not ready, nil when it is.
	Ready func() error
	// Status returns what is known of the fleet.
	Status func(context.Context) Status
	// Drain drains a VM, this one or another, and returns how many requests
	// are still running there.
	Drain func(ctx context.Context, vm string) (int, error)
	// SetLogSample sets the share of requests that are logged.
	SetLogSample func(share float64)
	// Vars are the daemon's metrics.
	Vars *expvar.Map
	// OnWriteError, if set, notes that an answer could not be sent, as when the asker has gone.
	OnWriteError func(err error)
}

// New returns the handler of the pages.
func New(hs Handlers) http.Handler {
	rt := httprouter.New()
	rt.POST("/announce", hs.announce)
	rt.DELETE("/announce", hs.withdraw)
	rt.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { hs.text(w, "ok") })
	rt.GET("/readyz", hs.ready)
	rt.GET("/status", hs.status)
	rt.POST("/drain/:vm", hs.drain)
	rt.PUT("/access-log/:share", hs.sample)
	rt.GET("/debug/vars", hs.vars)
	rt.GET("/metrics", hs.metrics)
	return rt
}

// maxAnnouncement bounds the body of an announcement in bytes.
const maxAnnouncement = 4 << 10

func (hs *Handlers) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var an Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	err := dec.Decode(&an)
	if err == nil {
		err = an.Validate()
	}
	if err != nil {
		hs.fail(w, http.StatusBadRequest, err)
		return
	}
	if err := hs.Announce(r.Context(), an); err != nil {
		hs.fail(w, http.StatusConflict, err)
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
		hs.fail(w, http.StatusServiceUnavailable, err)
		return
	}
	hs.text(w, "ready")
}

func (hs *Handlers) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hs.reply(w, hs.Status(r.Context()))
}

func (hs *Handlers) drain(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	running, err := hs.Drain(r.Context(), ps.ByName("vm"))
	if err != nil {
		hs.fail(w, http.StatusBadGateway, err)
		return
	}
	hs.reply(w, Drained{VM: ps.ByName("vm"), Running: running})
}

func (hs *Handlers) sample(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	share, err := strconv.ParseFloat(ps.ByName("share"), 64)
	if err != nil || !(share >= 0 && share <= 1) {
		hs.fail(w, http.StatusBadRequest, fmt.Errorf("the share is %q; set it to a number from 0 to 1", ps.ByName("share")))
		return
	}
	hs.SetLogSample(share)
	w.WriteHeader(http.StatusNoContent)
}

// Drained answers an order to drain.
type Drained struct {
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
		hs.fail(w, http.StatusInternalServerError, err)
	}
}

func (hs *Handlers) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	hs.sent(json.NewEncoder(w).Encode(v))
}

func (hs *Handlers) text(w http.ResponseWriter, line string) {
	_, err := fmt.Fprintln(w, line)
	hs.sent(err)
}

// sent notes how sending an answer ended.
func (hs *Handlers) sent(err error) {
	if err != nil && hs.OnWriteError != nil {
		hs.OnWriteError(err)
	}
}

// ErrorResponse is the body of an answer that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}

func (hs *Handlers) fail(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	hs.sent(json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error()}))
}
