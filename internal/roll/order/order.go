package order

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// Prefix begins the keys of orders, each followed by the name of its service.
const Prefix = "rollout/"

// statusPrefix begins the keys of their states.
const statusPrefix = "rollout-status/"

// The bounds of an order's time. In less, too few requests tell a bad version from a good
// one.
const (
	MinDuration = 5 * time.Second
	MaxDuration = 24 * time.Hour
)

// Order is the value of an order.
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// DurationMs is the time within which the rollout has to end.
	DurationMs int64 `json:"duration-ms"`
	// Abort orders that it ends at once.
	Abort bool `json:"abort,omitempty"`
}

// Check returns what is wrong with the order.
func (or *Order) Check() error {
	du := time.Duration(or.DurationMs) * time.Millisecond
	switch {
	case or.Service == "" || strings.Contains(or.Service, "/"):
		return fmt.Errorf("service is %q; name a service of the configuration", or.Service)
	case or.Target == "":
		return fmt.Errorf("target is not set; name the version that the new servers announce")
	case du < MinDuration || du > MaxDuration:
		return fmt.Errorf("duration is %s; set it from %s to %s", du, MinDuration, MaxDuration)
	}
	return nil
}

// Key returns the key of the order.
func (or *Order) Key() string { return Prefix + or.Service }

// Decode reads the order under a key.
func Decode(key string, value []byte) (canary.Order, error) {
	var or Order
	if err := json.Unmarshal(value, &or); err != nil {
		return canary.Order{}, fmt.Errorf("%s: %w", key, err)
	}
	if err := or.Check(); err != nil {
		return canary.Order{}, fmt.Errorf("%s: %w", key, err)
	}
	if or.Key() != key {
		return canary.Order{}, fmt.Errorf("%s: the order is for service %q", key, or.Service)
	}
	return canary.Order{
		Service: or.Service, Target: or.Target, Duration: time.Duration(or.DurationMs) * time.Millisecond, Abort: or.Abort,
	}, nil
}

// Status is the value of a rollout's state.
type Status struct {
	Target string `json:"target"`
	State  string `json:"state"`
}

// StatusKey returns the key of the state of a service's rollout.
func StatusKey(service string) string { return statusPrefix + service }

// EncodeStatus returns the value of a state.
func EncodeStatus(target string, st canary.State) ([]byte, error) {
	return json.Marshal(Status{Target: target, State: st.String()})
}

// DecodeStatus reads what EncodeStatus returns.
func DecodeStatus(value []byte) (target string, st canary.State, err error) {
	var status Status
	if err := json.Unmarshal(value, &status); err != nil {
		return "", 0, fmt.Errorf("the state of a rollout: %w", err)
	}
	for _, st := range []canary.State{canary.InProgress, canary.Complete, canary.RolledBack} {
		if st.String() == status.State {
			return status.Target, st, nil
		}
	}
	return "", 0, fmt.Errorf("the state of a rollout is %q", status.State)
}
