package expo

import (
	"expvar"
	"fmt"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/stat/hist"
)

func Example() {
	vars := new(expvar.Map)
	vars.Set("version-held", expvar.Func(func() any { return 12 }))
	vars.Set("relay", expvar.Func(func() any { return true }))
	vars.Set("vm", expvar.Func(func() any { return "not a number" }))
	series := new(expvar.Map)
	outcomes := new(expvar.Map)
	outcomes.Add(`not-run/"full"`, 3)
	series.Set("outcomes", outcomes)
	outlet := new(expvar.Map)
	outlet.Set("booking/default", series)
	vars.Set("outlet", outlet)
	var b strings.Builder
	if err := Write(&b, vars); err != nil {
		fmt.Println(err)
	}
	fmt.Print(b.String())
	// Output:
	// flamingomast_outlet_outcomes{series="booking/default",key="not-run/\"full\""} 3
	// flamingomast_relay 1
	// flamingomast_version_held 12
}

// TestHistograms checks that histograms are written as counts and quantiles.
func TestHistograms(t *testing.T) {
	var set hist.Set
	set.For("booking", "default").Latency.Record(1e6)
	vars := new(expvar.Map)
	vars.Set("outlet", set.Var())
	var b strings.Builder
	if err := Write(&b, vars); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`flamingomast_outlet_latency{series="booking/default",key="count"} 1`, `key="p99-ms"} 1`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no line with %s in\n%s", want, b.String())
		}
	}
}
