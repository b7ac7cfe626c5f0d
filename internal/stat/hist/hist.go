package hist

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of durations in a histogram. Durations outside it are clamped to its ends.
const (
	shortest = time.Microsecond
	longest  = time.Minute
	// digits is the precision in significant decimal digits.
	digits = 2
)

// Durations is a histogram of durations. It is an expvar.Var.
type Durations struct {
	mu sync.Mutex
	hi *hdrhistogram.Histogram
}

// Record adds a duration.
func (du *Durations) Record(d time.Duration) {
	us := min(d, longest).Microseconds()
	du.mu.Lock()
	defer du.mu.Unlock()
	if du.hi == nil {
		du.hi = hdrhistogram.New(1, longest.Microseconds(), digits)
	}
	_ = du.hi.RecordValue(max(us, shortest.Microseconds()))
}

// Quantile returns the duration at percentile q, which ranges from 0 to 100, or 0 if the histogram
// is empty.
func (du *Durations) Quantile(q float64) time.Duration {
	du.mu.Lock()
	defer du.mu.Unlock()
	if du.hi == nil {
		return 0
	}
	return time.Duration(du.hi.ValueAtQuantile(q)) * time.Microsecond
}

// summary is the exported form of a histogram, with durations in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P90   float64 `json:"p90-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

// String returns the count, some quantiles and the maximum as JSON.
func (du *Durations) String() string {
	du.mu.Lock()
	defer du.mu.Unlock()
	var sm summary
	if hi := du.hi; hi != nil {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		sm = summary{
			Count: hi.TotalCount(), P50: ms(hi.ValueAtQuantile(50)), P90: ms(hi.ValueAtQuantile(90)),
			P99: ms(hi.ValueAtQuantile(99)), P999: ms(hi.ValueAtQuantile(99.9)), Max: ms(hi.Max()),
		}
	}
	b, err := json.Marshal(sm)
	if err != nil {
		return "{}"
	}
	return string(b)
}

// Series holds the metrics of a service and class at an outlet or at an inlet.
type Series struct {
	// Latency is the duration of whole requests. Queue is, at an inlet, the wait for a slot and, at
	// an outlet, the time from the reading of a request to the start of its handling.
	Latency, Queue Durations
	// Outcomes counts requests by outcome and reason, Attempts by the number of attempts.
	Outcomes, Attempts expvar.Map
}

// Set holds the series of an outlet or an inlet by service and class. The zero value is ready for
// use.
type Set struct {
	series sync.Map // key to *Series
	vars   expvar.Map
}

type key struct {
	service, class string
}

// For returns the series of a service and class, and creates it if necessary.
func (st *Set) For(service, class string) *Series {
	ky := key{service: service, class: class}
	if v, ok := st.series.Load(ky); ok {
		return v.(*Series)
	}
	v, loaded := st.series.LoadOrStore(ky, &Series{})
	sr := v.(*Series)
	if !loaded {
		m := new(expvar.Map)
		m.Set("latency", &sr.Latency)
		m.Set("queue", &sr.Queue)
		m.Set("outcomes", &sr.Outcomes)
		m.Set("attempts", &sr.Attempts)
		st.vars.Set(service+"/"+class, m)
	}
	return sr
}

// Has reports whether there is a series of a service and class.
func (st *Set) Has(service, class string) bool {
	_, ok := st.series.Load(key{service: service, class: class})
	return ok
}

// Len returns the number of series.
func (st *Set) Len() (n int) {
	st.series.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

// Var returns all series as an expvar variable.
func (st *Set) Var() expvar.Var { return &st.vars }
