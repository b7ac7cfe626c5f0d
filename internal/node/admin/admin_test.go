package admin

import (
	"context"
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestEndpoints(t *testing.T) {
	share := -1.0
	hs := Handlers{
		Announce:     func(context.Context, Announcement) error { return nil },
		Withdraw:     func(context.Context, Withdrawal) {},
		Ready:        func() error { return nil },
		Status:       func(context.Context) Status { return Status{VM: "v"} },
		Drain:        func(context.Context, string) (int, error) { return 3, nil },
		SetLogSample: func(s float64) { share = s },
		Vars:         new(expvar.Map),
	}
	for _, tc := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/healthz", "", 200, "ok"},
		{"GET", "/readyz", "", 200, "ready"},
		{"POST", "/announce", `{"service":"booking","address":"127.0.0.1:1"}`, 204, ""},
		{"POST", "/announce", `{"service":"booking","adress":"x"}`, 400, `unknown field \"adress\"`},
		{"POST", "/announce", `{}`, 400, "service is not set; name the service of the inventory"},
		{"POST", "/announce", `{"service":"b","ttl-ms":1}`, 400, "ttl-ms is 1; set it from 1000 to 60000"},
		{"POST", "/announce", `{"service":"b","address":"localhost:1"}`, 400, `address is \"localhost:1\"; set it to an IP address and port`},
		{"DELETE", "/announce", "", 204, ""},
		{"POST", "/drain/vm-1", "", 200, `{"vm":"vm-1","running":3}`},
		{"GET", "/status", "", 200, `"vm":"v"`},
		{"GET", "/debug/vars", "", 200, `{"flamingomast": {}`},
		{"PUT", "/access-log/0.25", "", 204, ""},
		{"PUT", "/access-log/2", "", 400, `the share is \"2\"; set it to a number from 0 to 1`},
		{"GET", "/nothing", "", 404, ""},
	} {
		rec := httptest.NewRecorder()
		New(hs).ServeHTTP(rec, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
		if rec.Code != tc.status || !strings.Contains(rec.Body.String(), tc.want) {
			t.Errorf("%s %s %s: %d %s", tc.method, tc.path, tc.body, rec.Code, rec.Body)
		}
	}
	if share != 0.25 {
		t.Errorf("the share of logged requests is %v", share)
	}
}

func TestAlarms(t *testing.T) {
	st := Status{
		VM: "v", Latest: 9, Platform: 4, PlatformBehind: true, PlatformError: "down",
		Domains: []DomainStatus{
			{Name: "a", Members: 3, Serving: 3, Draining: []string{"x"}},
			{Name: "b", Members: 3, Serving: 0},
			{Name: "c", Unreachable: true},
			{Name: "d", Unknown: true},
			{Name: "e", Members: 1, Serving: 1, Refused: []string{"y: no"}, Silent: []string{"z"}},
		},
	}
	var got []string
	for _, al := range st.Alarms() {
		got = append(got, al.Problem)
	}
	want := []string{
		"the platform shows version 4, the fleet knows version 9: the platform was set back",
		"failure domain e: refused by y: no",
		"failure domain b has 3 daemons and no backend server that serves",
		"failure domain c is unreachable from v",
		"failure domain d has reported nothing",
		"failure domain e: no contact with z",
		"the platform does not answer: down",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if alarms := (&Status{Domains: st.Domains[:1]}).Alarms(); alarms != nil {
		t.Errorf("alarms of a healthy fleet: %v", alarms)
	}
}

func TestMissing(t *testing.T) {
	st := Status{Domains: []DomainStatus{
		{Name: "a", Members: 2, Lowest: 5, Highest: 5},
		{Name: "b", Members: 2, Lowest: 4, Highest: 5, Behind: []string{"b1"}},
		{Name: "c", Members: 2, Lowest: 4, Highest: 4},
		{Name: "d", Unreachable: true, Members: 2, Lowest: 5},
		{Name: "e", Unknown: true},
		{Name: "f"},
	}}
	if diff := cmp.Diff([]string{"VM b1", "failure domain c", "failure domain d (unreachable)"}, st.Missing(5)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
