package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/node/admin"
)

// daemonTimeout is the time limit of a request to a daemon.
const daemonTimeout = 5 * time.Second

// callDaemon sends a request to the daemon's admin address and decodes the response into result.
func (ap *app) callDaemon(ctx context.Context, method, path string, result any) error {
	if ap.daemon == "" {
		return usageError("--daemon is not set; give the admin address of any daemon")
	}
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ap.daemon+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var fl admin.ErrorResponse
		_ = json.NewDecoder(res.Body).Decode(&fl)
		return fmt.Errorf("the daemon answered %s: %s", res.Status, fl.Error)
	}
	return json.NewDecoder(res.Body).Decode(result)
}

func (ap *app) fetchStatus(ctx context.Context) (*admin.Status, error) {
	var st admin.Status
	if err := ap.callDaemon(ctx, http.MethodGet, "/status", &st); err != nil {
		return nil, err
	}
	return &st, nil
}

// waitError reports that a version was accepted but is not yet in force everywhere.
type waitError struct {
	Version uint64
	Missing []string
}

// Error names the VMs and failure domains that are not known to hold the version.
func (we *waitError) Error() string {
	return fmt.Sprintf("version %d is accepted; not known to be in force in: %s", we.Version, strings.Join(we.Missing, ", "))
}

// waitPollInterval is the interval between status requests while waiting.
const waitPollInterval = 100 * time.Millisecond

// waitInForce waits until every failure domain holds the version.
func (ap *app) waitInForce(ctx context.Context, version uint64, timeout time.Duration) error {
	start := time.Now()
	expired := time.After(timeout)
	terminal := isTerminal(ap.err)
	missing := []string{"the daemon asked"}
	for {
		st, err := ap.fetchStatus(ctx)
		if err == nil && st.Version > 0 {
			missing = st.Missing(version)
			if len(missing) == 0 && st.Version >= version {
				if !ap.json {
					fmt.Fprintf(ap.out, "in force everywhere after %s\n", time.Since(start).Round(time.Millisecond))
				}
				return nil
			}
		}
		if terminal {
			fmt.Fprintf(ap.err, "\rwaiting for %d …\033[K", len(missing))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expired:
			return &waitError{Version: version, Missing: missing}
		case <-time.After(waitPollInterval):
		}
	}
}

func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	fi, err := f.Stat()
	return err == nil && fi.Mode()&os.ModeCharDevice != 0
}

func (ap *app) statusCmd() *ffcli.Command {
	fs := ap.newFlagSet("status")
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	check := fs.Bool("check", false, "print only alarms and what to do about them, and exit with status 1 if there are any")
	return &ffcli.Command{
		Name: "status", ShortUsage: "flamingomast status [--check] --daemon ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show the versions that the fleet holds, by failure domain, and the alarms.",
		Exec: func(ctx context.Context, _ []string) error {
			st, err := ap.fetchStatus(ctx)
			if err != nil {
				return err
			}
			if *check {
				return ap.checkStatus(st)
			}
			if ap.json {
				return ap.printJSON(st)
			}
			ap.printStatus(st)
			return nil
		},
	}
}

// checkStatus prints the alarms of a status, and returns an error if there are any.
func (ap *app) checkStatus(st *admin.Status) error {
	alarms := st.Alarms()
	for _, al := range alarms {
		if ap.json {
			if err := ap.printJSON(al); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(ap.out, "%s\n  -> %s\n", al.Problem, al.Action)
	}
	if len(alarms) > 0 {
		return fmt.Errorf("%d alarms", len(alarms))
	}
	return nil
}

func (ap *app) printStatus(st *admin.Status) {
	fmt.Fprintf(ap.out, "asked %s, which holds version %d; newest known %d, platform shows %d\n", st.VM, st.Version, st.Latest, st.Platform)
	for _, al := range st.Alarms() {
		fmt.Fprintf(ap.out, "! %s\n  -> %s\n", al.Problem, al.Action)
	}
	fmt.Fprintf(ap.out, "%-20s %-10s %8s %8s  %s\n", "FAILURE DOMAIN", "VERSIONS", "MEMBERS", "SERVING", "REMARKS")
	for _, ds := range st.Domains {
		versions := fmt.Sprint(ds.Lowest)
		if ds.Highest != ds.Lowest {
			versions = fmt.Sprintf("%d-%d", ds.Lowest, ds.Highest)
		}
		var remarks []string
		addRemark := func(name string, list []string) {
			if len(list) > 0 {
				remarks = append(remarks, name+": "+strings.Join(list, " "))
			}
		}
		if ds.Unreachable {
			remarks = append(remarks, "unreachable")
		}
		if ds.Unknown {
			versions = "?"
			remarks = append(remarks, "nothing reported")
		}
		addRemark("behind", ds.Behind)
		addRemark("draining", ds.Draining)
		addRemark("silent", ds.Silent)
		addRemark("refused", ds.Refused)
		fmt.Fprintf(ap.out, "%-20s %-10s %8d %8d  %s\n", ds.Name, versions, ds.Members, ds.Serving, strings.Join(remarks, "; "))
	}
	ap.printServer(st.Server)
	ap.printTenants(st.Tenants)
}

// printServer prints what the backend server beside the daemon asked says about itself.
func (ap *app) printServer(st *admin.ServerStatus) {
	if st == nil {
		return
	}
	if st.RateLimit != nil {
		fmt.Fprintf(ap.out, "its backend server takes at most %g requests per second from all callers together\n", *st.RateLimit)
	}
	if st.Leaving {
		fmt.Fprintln(ap.out, "its backend server says that it is leaving")
	}
}

// printTenants prints what tenants use of their limits.
func (ap *app) printTenants(tenants []admin.TenantStatus) {
	if len(tenants) == 0 {
		return
	}
	fmt.Fprintf(ap.out, "\n%-20s %10s %10s %10s %8s  %-14s  %s\n", "TENANT", "RATE/S", "BURST", "SENT/S", "ADMITTED", "OUTLETS", "BY RANK")
	for _, ts := range tenants {
		var byRank []string
		for _, share := range ts.AdmitByRank {
			byRank = append(byRank, fmt.Sprintf("%.0f%%", 100*share))
		}
		outlets := fmt.Sprintf("%d of %d", ts.Reporting, ts.Outlets)
		line := fmt.Sprintf("%-20s %10.6g %10.6g %10.1f %7.0f%%  %-14s  %s", ts.Name, ts.Rate, ts.Burst, ts.Demand, 100*ts.Admit, outlets, strings.Join(byRank, " "))
		fmt.Fprintln(ap.out, strings.TrimRight(line, " "))
	}
}

func (ap *app) drainCmd() *ffcli.Command {
	fs := ap.newFlagSet("drain")
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "flamingomast drain --daemon ADDR VM", FlagSet: fs, Options: envOption(),
		ShortHelp: "Stop new requests to a VM, and let the running ones finish.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one VM")
			}
			var dr admin.DrainResult
			if err := ap.callDaemon(ctx, http.MethodPost, "/drain/"+url.PathEscape(args[0]), &dr); err != nil {
				return err
			}
			if ap.json {
				return ap.printJSON(dr)
			}
			fmt.Fprintf(ap.out, "%s drains; %d requests are running there\n", dr.VM, dr.Running)
			return nil
		},
	}
}
