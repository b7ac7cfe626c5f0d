package cmds

import (
	"bytes"
	"strings"
	"testing"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// TestPrintTenants guards against shares by rank that a relay knows and operators are not shown, and
// against shown ones of a relay of the previous release, which knows none.
func TestPrintTenants(t *testing.T) {
	res := &wirepb.StatusResponse{Tenants: []*wirepb.TenantStatus{
		{Tenant: "desks", Rate: 90, Burst: 90, Demand: 180, Admit: 0.5, Reporting: 9, Outlets: 9, AdmitByRank: []float64{0.744, 0.15, 0.15, 0.15}},
		{Tenant: "old", Rate: 90, Burst: 90, Demand: 180, Admit: 0.5, Reporting: 9, Outlets: 9},
	}}
	var out bytes.Buffer
	ap := &app{out: &out}
	ap.printTenants(admin.NewStatus("vm", 1, nil, res).Tenants)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("printed %q", out.String())
	}
	for i, want := range []string{"OUTLETS         BY RANK", "50%  9 of 9          74% 15% 15% 15%", "50%  9 of 9"} {
		if !strings.HasSuffix(lines[i], want) {
			t.Errorf("line %q, want it to end in %q", lines[i], want)
		}
	}
}
