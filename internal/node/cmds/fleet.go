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

// askTimeout bounds a question to a daemon.
const askTimeout = 5 * time.Second

// ask calls a page of the daemon's admin address.
func (ap *app) ask(ctx context.Context, method, path string, into any) error {
	if ap.daemon == "" {
		return usageError("--daemon is not set; give the admin address of any daemon")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	return json.NewDecoder(res.Body).Decode(into)
}

func (ap *app) fetchStatus(ctx context.Context) (*admin.Status, error) {
	var st admin.Status
	if err := ap.ask(ctx, http.MethodGet, "/status", &st); err != nil {
		return nil, err
	}
	return &st, nil
}

// waitError says that a version was accepted and is not yet in force
// everywhere.
type waitError struct {
	Version uint64
	Lacking []string
}

// Error names what lacks the version.
func (we *waitError) Error() string {
	return fmt.Sprintf("version %d is accepted; not known to be in force in: %s", we.Version, strings.Join(we.Lacking, ", "))
}

// waitPoll is how often the fleet is looked at while waiting.
const waitPoll = 100 * time.Millisecond

// waitInForce waits until every failure domain holds the version.
func (ap *app) waitInForce(ctx context.Context, version uint64, wait time.Duration) error {
	began := time.Now()
	limit := time.After(wait)
	terminal := isTerminal(ap.err)
	lacking := []string{"the daemon asked"}
	for {
		st, err := ap.fetchStatus(ctx)
		if err == nil && st.Version > 0 {
			lacking = st.Lacking(version)
			if len(lacking) == 0 && st.Version >= version {
				if !ap.json {
					fmt.Fprintf(ap.out, "in force everywhere after %s\n", time.Since(began).Round(time.Millisecond))
				}
				return nil
			}
		}
		if terminal {
			fmt.Fprintf(ap.err, "\rwaiting for %d …\033[K", len(lacking))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit:
			return &waitError{Version: version, Lacking: lacking}
		case <-time.After(waitPoll):
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
	fs := ap.flags("status")
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	check := fs.Bool("check", false, "print only alarms and what to do, and end with status 1 if there are any")
	return &ffcli.Command{
		Name: "status", ShortUsage: "flamingomast status [--check] --daemon ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show what the fleet holds, by failure domain, and what is wrong.",
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

// checkStatus prints the alarms of a status; any is an error.
func (ap *app) checkStatus(st *admin.Status) error {
	alarms := st.Alarms()
	for _, al := range alarms {
		if ap.json {
			if err := ap.printJSON(al); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(ap.out, "%s\n  -> %s\n", al.What, al.Do)
	}
	if len(alarms) > 0 {
		return fmt.Errorf("%d alarms", len(alarms))
	}
	return nil
}

func (ap *app) printStatus(st *admin.Status) {
	fmt.Fprintf(ap.out, "asked %s, which holds version %d; newest known %d, platform shows %d\n", st.VM, st.Version, st.Latest, st.Platform)
	for _, al := range st.Alarms() {
		fmt.Fprintf(ap.out, "! %s\n  -> %s\n", al.What, al.Do)
	}
	fmt.Fprintf(ap.out, "%-20s %-10s %8s %8s  %s\n", "FAILURE DOMAIN", "VERSIONS", "MEMBERS", "SERVING", "REMARKS")
	for _, ds := range st.Domains {
		versions := fmt.Sprint(ds.Lowest)
		if ds.Highest != ds.Lowest {
			versions = fmt.Sprintf("%d-%d", ds.Lowest, ds.Highest)
		}
		var notes []string
		note := func(name string, list []string) {
			if len(list) > 0 {
				notes = append(notes, name+": "+strings.Join(list, " "))
			}
		}
		if ds.Unreachable {
			notes = append(notes, "cut off")
		}
		if ds.Unknown {
			versions = "?"
			notes = append(notes, "nothing reported")
		}
		note("behind", ds.Behind)
		note("draining", ds.Draining)
		note("silent", ds.Silent)
		note("refused", ds.Refused)
		fmt.Fprintf(ap.out, "%-20s %-10s %8d %8d  %s\n", ds.Name, versions, ds.Members, ds.Serving, strings.Join(notes, "; "))
	}
}

func (ap *app) drainCmd() *ffcli.Command {
	fs := ap.flags("drain")
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "flamingomast drain --daemon ADDR VM", FlagSet: fs, Options: envOption(),
		ShortHelp: "Let a VM take no new requests; those it has go on to their end.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("name one VM")
			}
			var dr admin.Drained
			if err := ap.ask(ctx, http.MethodPost, "/drain/"+url.PathEscape(args[0]), &dr); err != nil {
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
