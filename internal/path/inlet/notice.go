package inlet

import (
	"log/slog"
	"net/http"
	"sync"

	"github.com/flamingomast/flamingomast/internal/path/notice"
	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// notices is what the current instance of the backend server says about itself in its responses.
// Its methods are safe for concurrent use.
type notices struct {
	mu sync.Mutex
	// limit is the rate limit in force, noLimit if there is none.
	limit float64
	named bool
	// leaving is set once the server has said that it is leaving, invalid once a value that cannot
	// be used was logged.
	leaving, invalid bool
}

// noLimit stands for a missing rate limit in the log.
const noLimit = -1

// reset forgets everything, for another instance of the server.
func (no *notices) reset() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.limit, no.named, no.leaving, no.invalid = 0, false, false, false
}

// readNotice reads and logs what a response of the server says about it.
func (in *Inlet) readNotice(tg *Target, res *http.Response) {
	if in.Names.Instance != "" && res.StatusCode == http.StatusMisdirectedRequest {
		// Another instance answered.
		return
	}
	nm := in.Names.WithDefaults()
	re, err := notice.Names{Limit: nm.Limit, Leaving: nm.Leaving}.Read(res.Header)
	no := &in.notices
	no.mu.Lock()
	defer no.mu.Unlock()
	if err != nil && !no.invalid {
		no.invalid = true
		in.Log.Warn(logs.ServerNoticeInvalid, slog.String(logs.Lifetime, tg.Lifetime), slog.Any(logs.Error, err))
	}
	if re.Leaving && !no.leaving {
		no.leaving = true
		in.Log.Info(logs.ServerLeaving, slog.String(logs.Lifetime, tg.Lifetime))
	}
	named := re.LimitState == notice.LimitNamed
	if re.LimitState == notice.LimitInvalid || named == no.named && re.Limit == no.limit {
		return
	}
	rate, previous := float64(noLimit), float64(noLimit)
	if no.named {
		previous = no.limit
	}
	if named {
		rate = re.Limit
	}
	no.named, no.limit = named, re.Limit
	in.Log.Info(logs.ServerLimit, slog.String(logs.Lifetime, tg.Lifetime), slog.Float64(logs.ServerRate, rate), slog.Float64(logs.PreviousRate, previous))
}
