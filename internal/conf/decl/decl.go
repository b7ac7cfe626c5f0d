package decl

import (
	"fmt"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// Mesh is everything that operators declare. It is the reference for the YAML
// files: each file holds any of these lists, and the files of a directory are
// read as one.
type Mesh struct {
	Regions    []Region    `json:"regions,omitempty"`
	Domains    []Domain    `json:"failure-domains,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	VMs        []VM        `json:"vms,omitempty"`
	Classes    []Class     `json:"classes,omitempty"`
	Routes     []Route     `json:"routes,omitempty"`
	Placements []Placement `json:"placements,omitempty"`
	// CallerLimits has one entry at most.
	CallerLimits []CallerLimits `json:"caller-limits,omitempty"`
}

// CallerLimits bounds what callers may send to an outlet, and how long they may
// take.
type CallerLimits struct {
	Name string `json:"name"`
	// HeadBytes and BodyBytes bound a request; 0 stands for the daemon's own
	// bound.
	HeadBytes int `json:"head-bytes,omitempty"`
	BodyBytes int `json:"body-bytes,omitempty"`
	// Head is how long the head of a request may take, Idle how long a
	// connection may be kept without one.
	Head Duration   `json:"head,omitempty"`
	Idle Duration   `json:"idle,omitempty"`
	Pos  strict.Pos `json:"-"`
}

// Region is a group of failure domains that are near each other.
type Region struct {
	Name string     `json:"name"`
	Pos  strict.Pos `json:"-"`
}

// Domain is a failure domain: VMs that may fail or be cut off together.
type Domain struct {
	Name   string     `json:"name"`
	Region string     `json:"region"`
	Pos    strict.Pos `json:"-"`
}

// Service is what callers ask for and backend servers serve.
type Service struct {
	Name string `json:"name"`
	// Announced says that no inventory lists its backend servers: each names
	// its own address and slots when it announces itself, wherever it runs.
	// Port and Slots are left out then.
	Announced bool `json:"announced,omitempty"`
	// Port is where its backend servers listen on their VM.
	Port int `json:"port"`
	// Slots is how many requests one backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the most connections kept to one backend server.
	Connections int `json:"connections,omitempty"`
	// Health is the path at which a backend server says whether it serves; empty for
	// none.
	Health string `json:"health,omitempty"`
	// Class is taken for requests whose route names none.
	Class string `json:"class,omitempty"`
	// Deadline is taken for requests whose route and caller give none.
	Deadline Duration `json:"deadline,omitempty"`
	// SlowStart is how long a new backend server gets a growing share.
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

// Class is a kind of request with its own share of the slots.
type Class struct {
	Name string `json:"name"`
	// Share is the percentage of a backend server's slots that the class may
	// always have; what it leaves idle, others may use.
	Share int `json:"share"`
	// Queue is how many of its requests may wait at one backend server.
	Queue int        `json:"queue,omitempty"`
	Pos   strict.Pos `json:"-"`
}

// Repeat says which requests may be sent again after they may have run.
type Repeat string

// The values of Repeat. The zero value stands for RepeatSafe.
const (
	// RepeatSafe lets only requests with safe methods be repeated.
	RepeatSafe Repeat = "safe"
	// RepeatNever lets none be repeated, whatever its method or headers.
	RepeatNever Repeat = "never"
	// RepeatAlways declares that the requests are idempotent.
	RepeatAlways Repeat = "always"
)

// Route is a rule: which requests go to which services, and how.
type Route struct {
	Name  string   `json:"name"`
	Match Match    `json:"match"`
	To    []Target `json:"to"`
	Class string   `json:"class,omitempty"`
	// Deadline bounds a request with all its attempts.
	Deadline Duration `json:"deadline,omitempty"`
	// Objective is the time within which an answer has its full worth.
	Objective Duration `json:"objective,omitempty"`
	// Priority ranks requests that wait for a slot: 0 goes first.
	Priority int    `json:"priority,omitempty"`
	Repeat   Repeat `json:"repeat,omitempty"`
	// Attempts is the most backend servers that a request is sent to; 0 stands
	// for the daemon's own bound.
	Attempts int        `json:"attempts,omitempty"`
	Pos      strict.Pos `json:"-"`
}

// Match says which requests a route takes. Of several routes the one with the
// longest path prefix wins, then the one with more headers, then the one that
// names methods, then the first by name.
type Match struct {
	Host       string `json:"host"`
	PathPrefix string `json:"path-prefix,omitempty"`
	// Literal compares the prefix byte by byte: /visits/ does not take /visits.
	// Otherwise a prefix takes whole segments, with or without a slash at its
	// end.
	Literal bool              `json:"literal,omitempty"`
	Methods []string          `json:"methods,omitempty"`
	Headers map[string]string `json:"headers,omitempty"`
	Pos     strict.Pos        `json:"-"`
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string     `json:"service"`
	Weight  int        `json:"weight"`
	Pos     strict.Pos `json:"-"`
}

// The words that stand for failure domains in the order of a placement.
const (
	// OrderOwn is the failure domain of the daemon that picks.
	OrderOwn = "own"
	// OrderRegion is all failure domains of its region.
	OrderRegion = "region"
	// OrderAny is all failure domains.
	OrderAny = "any"
)

// Placement is a rule: where a service's requests may go.
type Placement struct {
	Service string `json:"service"`
	// Order lists failure domains, or the words own, region and any; no
	// request goes elsewhere.
	Order []string `json:"order"`
	// Spill lets requests go on to the next of the order when the backend
	// servers of the first are full or out of reach.
	Spill bool       `json:"spill"`
	Pos   strict.Pos `json:"-"`
}

// Duration is a time.Duration written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration reads.
func (du *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a duration; write it as 500ms, 2s or 1m", text)
	}
	*du = Duration(d)
	return nil
}

// MarshalText returns the form that UnmarshalText reads.
func (du Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(du).String()), nil
}
