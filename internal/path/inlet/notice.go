package inlet

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingomast/flamingomast/internal/path/limit"
	"github.com/flamingomast/flamingomast/internal/path/notice"
	"github.com/flamingomast/flamingomast/internal/path/rate"
	"github.com/flamingomast/flamingomast/internal/path/result"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// notices is what the current instance of the backend server has said about itself.
type notices struct {
	// encoded is sent to outlets with each response; nil if nothing is in force.
	encoded atomic.Pointer[string]
	// leaving is set once the instance has said that it is leaving.
	leaving atomic.Bool

	// mu guards the fields below, and changes of the limit.
	mu sync.Mutex
	// current is the notice in force.
	current notice.Notice
	// invalid is set once a value that cannot be used was logged.
	invalid bool
}

// noLimit stands for a missing rate limit in the log.
const noLimit = -1

// The sources of a notice in the log.
const (
	sourceResponse = "response"
	sourceOutlet   = "outlet"
)

// instance identifies the instance of the target's server.
func (tg *Target) instance() notice.Instance {
	return notice.Instance{Lifetime: tg.Lifetime, StartedMs: tg.StartedMs}
}

// setNoticeInstance records which instance serves now, and forgets what another one has said. An
// instance that is back after a while, for which absent is set, is recognized by its lifetime only.
func (in *Inlet) setNoticeInstance(ins notice.Instance, absent bool) {
	no := &in.notices
	no.mu.Lock()
	defer no.mu.Unlock()
	same := no.current.Instance.Same(ins) && !(absent && ins.Lifetime == "")
	if same {
		no.current.Instance = ins
		return
	}
	no.current, no.invalid = notice.Notice{Instance: ins}, false
	no.encoded.Store(nil)
	no.leaving.Store(false)
	in.rate.Reset()
}

// readNotice applies what a response of the server, to a request sent at sentAt, says about it.
func (in *Inlet) readNotice(tg *Target, res *http.Response, sentAt time.Time) {
	if in.Names.Instance != "" && res.StatusCode == http.StatusMisdirectedRequest {
		// Another instance answered.
		return
	}
	nm := in.Names.WithDefaults()
	re, err := notice.Names{Limit: nm.Limit, Leaving: nm.Leaving}.Read(res.Header)
	if re == (notice.Reading{}) && err == nil && in.notices.encoded.Load() == nil && in.rate.Heard() {
		return
	}
	in.changeNotice(tg, sourceResponse, func(no *notices) {
		if err != nil && !no.invalid {
			no.invalid = true
			in.Log.Warn(logs.ServerNoticeInvalid, slog.String(logs.Lifetime, tg.Lifetime), slog.Any(logs.Error, err))
		}
		switch now := time.Now(); re.LimitState {
		case notice.LimitNamed:
			in.rate.Name(re.Limit, now)
		case notice.LimitAbsent:
			// A server may refuse requests at a place that knows nothing of its limit.
			if in.checkShed(res) == nil {
				in.rate.Lift(sentAt, now)
			}
		}
		if re.Leaving {
			no.leaving.Store(true)
		}
	})
}

// adoptNotice applies what an outlet knows of the server. The server may have said it before this
// process started.
func (in *Inlet) adoptNotice(tg *Target, text string) {
	if text == "" {
		return
	}
	known, ok := notice.Parse(text)
	if !ok || !known.Same(tg.instance()) {
		return
	}
	newLimit, newLeaving := known.Limited && !in.rate.Heard(), known.Leaving && !in.notices.leaving.Load()
	if tg.Lifetime == "" {
		// It may be another instance. Its first response corrects a limit, but nothing a departure.
		newLeaving = false
	}
	if !newLimit && !newLeaving {
		return
	}
	in.changeNotice(tg, sourceOutlet, func(no *notices) {
		if newLimit {
			in.rate.Adopt(known.Limit, time.Now())
		}
		if newLeaving {
			no.leaving.Store(true)
		}
	})
}

// changeNotice calls fn, which changes what the target's server has said, unless another instance
// took its place meanwhile. It reports a departure.
func (in *Inlet) changeNotice(tg *Target, source string, fn func(*notices)) {
	no := &in.notices
	no.mu.Lock()
	cur := in.target.Load()
	if cur == nil || !cur.instance().Same(tg.instance()) {
		no.mu.Unlock()
		return
	}
	wasLeaving := no.current.Leaving
	fn(no)
	in.updateNotice(tg, source)
	leaves := no.current.Leaving && !wasLeaving
	no.mu.Unlock()
	if leaves {
		in.Leaving(*cur)
	}
}

// updateNotice publishes the notice in force and logs a change of it. in.notices.mu must be held.
func (in *Inlet) updateNotice(tg *Target, source string) {
	no := &in.notices
	next := no.current
	next.Instance = tg.instance()
	next.Limit, next.Limited = in.rate.Limit()
	if !next.Limited {
		next.Limit = 0
	}
	next.Leaving = no.leaving.Load()
	if next == no.current {
		return
	}
	if next.Leaving && !no.current.Leaving {
		in.Log.Info(logs.ServerLeaving, slog.String(logs.Lifetime, tg.Lifetime), slog.String(logs.Source, source))
	}
	if next.Limited != no.current.Limited || next.Limit != no.current.Limit {
		in.Log.Info(logs.ServerLimit, slog.String(logs.Lifetime, tg.Lifetime), slog.Float64(logs.ServerRate, rateOf(next)),
			slog.Float64(logs.PreviousRate, rateOf(no.current)), slog.String(logs.Source, source))
	}
	no.current = next
	if next.Empty() {
		no.encoded.Store(nil)
		return
	}
	text := next.String()
	no.encoded.Store(&text)
}

// rateOf returns the rate limit of a notice for the log.
func rateOf(no notice.Notice) float64 {
	if no.Limited {
		return no.Limit
	}
	return noLimit
}

// setNotice adds the notice in force to the header of a response.
func (in *Inlet) setNotice(hdr http.Header) {
	if text := in.notices.encoded.Load(); text != nil {
		hdr[result.ServerHeader] = []string{*text}
	}
}

// Notice returns the notice in force.
func (in *Inlet) Notice() notice.Notice {
	in.notices.mu.Lock()
	defer in.notices.mu.Unlock()
	return in.notices.current
}

// reserveToken takes a token for a request, or refuses the request if the server takes no more at
// the moment: another server may be able to run it at once.
func (in *Inlet) reserveToken(rq *limit.Request) (rate.Token, *result.Refusal) {
	token, retryAfter, ok := in.rate.Reserve(result.Rank(rq.Priority, rq.Final || rq.Floor), time.Now())
	if !ok {
		return token, overServerLimit(retryAfter)
	}
	return token, nil
}

func overServerLimit(retryAfter time.Duration) *result.Refusal {
	return &result.Refusal{Outcome: result.NotRun, Reason: result.ReasonServerLimit, RetryAfter: retryAfter}
}
