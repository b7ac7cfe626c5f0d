package order

import (
	"testing"
	"time"

	"github.com/flamingomast/flamingomast/internal/roll/canary"
)

// TestRead guards against orders of other writers that would be taken in part.
func TestRead(t *testing.T) {
	const good = `{"service":"booking","target":"v2","duration-ms":12000}`
	for _, tc := range []struct {
		name, key, value string
		ok               bool
	}{
		{"whole", "rollout/booking", good, true},
		{"another service", "rollout/portal", good, false},
		{"nothing", "rollout/booking", ``, false},
		{"another type", "rollout/booking", `[]`, false},
		{"no target", "rollout/booking", `{"service":"booking","duration-ms":12000}`, false},
		{"no time", "rollout/booking", `{"service":"booking","target":"v2"}`, false},
		{"a day and more", "rollout/booking", `{"service":"booking","target":"v2","duration-ms":86400001}`, false},
		{"a service with a slash", "rollout/a/b", `{"service":"a/b","target":"v2","duration-ms":12000}`, false},
	} {
		or, err := Decode(tc.key, []byte(tc.value))
		if (err == nil) != tc.ok || tc.ok && (or.Target != "v2" || or.Duration != 12*time.Second) {
			t.Errorf("%s: %+v, %v", tc.name, or, err)
		}
	}
}

func TestStatus(t *testing.T) {
	for _, st := range []canary.State{canary.InProgress, canary.Complete, canary.RolledBack} {
		value, err := EncodeStatus("v2", st)
		if err != nil {
			t.Fatal(err)
		}
		if target, got, err := DecodeStatus(value); target != "v2" || got != st || err != nil {
			t.Errorf("%s: %q, %s, %v", value, target, got, err)
		}
	}
	if _, _, err := DecodeStatus([]byte(`{"state":"lost"}`)); err == nil {
		t.Error("an unknown state was read")
	}
}
