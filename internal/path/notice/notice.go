package notice

import (
	"net/url"
	"strconv"
)

// Instance identifies one process of a backend server.
type Instance struct {
	// Lifetime is the identifier that the server gave this process, empty if it gives none.
	Lifetime string
	// StartedMs is the Unix time in milliseconds at which the process started, 0 if unknown.
	StartedMs int64
}

// Same reports whether both are the same process. An unknown start time equals any.
func (in Instance) Same(other Instance) bool {
	return in.Lifetime == other.Lifetime && (in.StartedMs == other.StartedMs || in.StartedMs == 0 || other.StartedMs == 0)
}

// Notice is what an instance of a backend server has said about itself. Inlets send it to outlets,
// and outlets return it with their requests, so that a new process beside the server learns it.
type Notice struct {
	Instance
	// Limit is the rate limit in requests per second, if Limited is set.
	Limit   float64
	Limited bool
	// Leaving is set if the instance is to get no more requests.
	Leaving bool
}

// Empty reports whether the instance has said nothing that is in force.
func (no Notice) Empty() bool { return !no.Limited && !no.Leaving }

// The fields of an encoded notice.
const (
	fieldLifetime = "lifetime"
	fieldStarted  = "started"
	fieldLimit    = "limit"
	fieldLeaving  = "leaving"
)

// String encodes the notice for Parse.
func (no Notice) String() string {
	vs := url.Values{fieldLifetime: {no.Lifetime}}
	if no.StartedMs != 0 {
		vs.Set(fieldStarted, strconv.FormatInt(no.StartedMs, 10))
	}
	if no.Limited {
		vs.Set(fieldLimit, strconv.FormatFloat(no.Limit, 'f', -1, 64))
	}
	if no.Leaving {
		vs.Set(fieldLeaving, leavingValue)
	}
	return vs.Encode()
}

// Parse decodes what String returns. It returns false for text that is empty or invalid.
func Parse(text string) (no Notice, ok bool) {
	if text == "" {
		return Notice{}, false
	}
	vs, err := url.ParseQuery(text)
	if err != nil || !vs.Has(fieldLifetime) {
		return Notice{}, false
	}
	no.Lifetime = vs.Get(fieldLifetime)
	if vs.Has(fieldStarted) {
		if no.StartedMs, err = strconv.ParseInt(vs.Get(fieldStarted), 10, 64); err != nil {
			return Notice{}, false
		}
	}
	if vs.Has(fieldLimit) {
		limit, problem := parseLimit(vs[fieldLimit])
		if problem != "" {
			return Notice{}, false
		}
		no.Limit, no.Limited = limit, true
	}
	no.Leaving = vs.Get(fieldLeaving) == leavingValue
	return no, true
}
