package decl

import (
	"fmt"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// Mesh is everything that operators declare. It is the reference for the YAML files: each file may
// contain any of these lists, and the files of a directory are merged.
type Mesh struct {
	Regions    []Region    `json:"regions,omitempty"`
	Domains    []Domain    `json:"failure-domains,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	VMs        []VM        `json:"vms,omitempty"`
	Classes    []Class     `json:"classes,omitempty"`
	Routes     []Route     `json:"routes,omitempty"`
	Placements []Placement `json:"placements,omitempty"`
	Tenants    []Tenant    `json:"tenants,omitempty"`
	// CallerLimits has at most one entry.
	CallerLimits []CallerLimits `json:"caller-limits,omitempty"`
}

// CallerLimits limits the size of the requests that callers send to an outlet, and the time that
// callers may take.
type CallerLimits struct {
	Name string `json:"name"`
	// HeadBytes and BodyBytes limit the size of a request; 0 stands for the daemon's own limit.
	HeadBytes int `json:"head-bytes,omitempty"`
	BodyBytes int `json:"body-bytes,omitempty"`
	// Head limits the time to receive the header section of a request, Idle the time that a
	// connection is kept open without a request.
	Head Duration   `json:"head,omitempty"`
	Idle Duration   `json:"idle,omitempty"`
	Pos  strict.Pos `json:"-"`
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name string     `json:"name"`
	Pos  strict.Pos `json:"-"`
}

// Domain is a failure domain: a set of VMs that may fail or be disconnected together.
type Domain struct {
	Name   string     `json:"name"`
	Region string     `json:"region"`
	Pos    strict.Pos `json:"-"`
}

// Service is what callers request and backend servers provide.
type Service struct {
	Name string `json:"name"`
	// Announced means that no inventory lists the backend servers: each one announces its own
	// address and slots, wherever it runs. Port and Slots are then omitted.
	Announced bool `json:"announced,omitempty"`
	// Port is the port on which backend servers listen on their VM.
	Port int `json:"port"`
	// Slots is how many requests one backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to one backend server.
	Connections int `json:"connections,omitempty"`
	// Health is the path of the health check of a backend server; empty for none.
	Health string `json:"health,omitempty"`
	// Class is the class of requests whose route declares none.
	Class string `json:"class,omitempty"`
	// Deadline applies to requests whose route and caller set none.
	Deadline Duration `json:"deadline,omitempty"`
	// SlowStart is the time over which the share of a new backend server ramps up.
	SlowStart Duration   `json:"slow-start,omitempty"`
	Pos       strict.Pos `json:"-"`
}

// VM is a machine that runs one backend server and one daemon.
type VM struct {
	Name    string     `json:"name"`
	Domain  string     `json:"failure-domain"`
	Service string     `json:"service"`
	Pos     strict.Pos `json:"-"`
}

// Class is a class of requests with its own share of the slots.
type Class struct {
	Name string `json:"name"`
	// Share is the percentage of a backend server's slots that is reserved for the class. Other
	// classes may use what it leaves idle.
	Share int `json:"share"`
	// Queue is how many of its requests may wait at one backend server.
	Queue int        `json:"queue,omitempty"`
	Pos   strict.Pos `json:"-"`
}

// Repeat says which requests may be retried even if an earlier attempt may have run.
type Repeat string

// The values of Repeat. The zero value stands for RepeatSafe.
const (
	// RepeatSafe allows retries of requests with safe methods only.
	RepeatSafe Repeat = "safe"
	// RepeatNever allows no retries, whatever the method or headers.
	RepeatNever Repeat = "never"
	// RepeatAlways declares that all requests are idempotent.
	RepeatAlways Repeat = "always"
)

// Route is a rule that says which requests are sent to which services, and how.
type Route struct {
	Name  string   `json:"name"`
	Match Match    `json:"match"`
	To    []Target `json:"to"`
	Class string   `json:"class,omitempty"`
	// Deadline limits the total time of a request with all its attempts.
	Deadline Duration `json:"deadline,omitempty"`
	// Objective is the time within which a response has its full value.
	Objective Duration `json:"objective,omitempty"`
	// Priority ranks requests that wait for a slot; 0 goes first.
	Priority int    `json:"priority,omitempty"`
	Repeat   Repeat `json:"repeat,omitempty"`
	// Attempts is the maximum number of backend servers that a request is sent to; 0 stands for
	// the daemon's own limit.
	Attempts int `json:"attempts,omitempty"`
	// Public routes need no API key.
	Public bool       `json:"public,omitempty"`
	Pos    strict.Pos `json:"-"`
}

// Match selects the requests of a route. Of several matching routes the one with the longest path
// prefix wins, then the one with more headers, then one that lists methods, then the first by name.
type Match struct {
	Host       string `json:"host"`
	PathPrefix string `json:"path-prefix,omitempty"`
	// Literal compares the prefix byte by byte: /visits/ does not match /visits. Otherwise a
	// prefix matches whole segments, with or without a trailing slash.
	Literal bool              `json:"literal,omitempty"`
	Methods []string          `json:"methods,omitempty"`
	Headers map[string]string `json:"headers,omitempty"`
	Pos     strict.Pos        `json:"-"`
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string     `json:"service"`
	Weight  int        `json:"weight"`
	Pos     strict.Pos `json:"-"`
}

// The keywords for failure domains in the order of a placement.
const (
	// OrderOwn is the failure domain of the daemon that selects the backend server.
	OrderOwn = "own"
	// OrderRegion is all failure domains in the region of that daemon.
	OrderRegion = "region"
	// OrderAny is all failure domains.
	OrderAny = "any"
)

// Placement is a rule that says where the requests of a service may be sent.
type Placement struct {
	Service string `json:"service"`
	// Order lists failure domains or the keywords own, region and any. No request is sent
	// elsewhere.
	Order []string `json:"order"`
	// Spill lets requests be sent to the next entry of the order if the backend servers of the
	// earlier ones are full or unreachable.
	Spill bool       `json:"spill"`
	Pos   strict.Pos `json:"-"`
}

// Duration is a time.Duration with a text form such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration and rejects negative durations.
func (du *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a duration; write it as 500ms, 2s or 1m", text)
	}
	*du = Duration(d)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (du Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(du).String()), nil
}
