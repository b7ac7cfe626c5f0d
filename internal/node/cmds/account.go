package cmds

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/stat/acct"
)

func (ap *app) accountCmd() *ffcli.Command {
	fs := ap.newFlagSet("account")
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "account", ShortUsage: "flamingomast account LOG...", FlagSet: fs, Options: envOption(),
		ShortHelp: "Summarize the outcomes of the requests in daemons' logs.",
		LongHelp: "The daemons' logs are given as files, in any order. Daemons leave out lines under load;\n" +
			"their number is printed, and the counts are then lower bounds.",
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usageError("flamingomast account: name the logs")
			}
			var rd acct.Reader
			for _, name := range files {
				if err := readFile("account", name, rd.Read); err != nil {
					return err
				}
			}
			ac := rd.Account()
			if ap.json {
				return ap.printJSON(ac)
			}
			return ap.printAccount(ac)
		},
	}
}

// readFile opens the file name, an argument of command, and passes it to read.
func readFile(command, name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return usageError("flamingomast " + command + ": " + err.Error())
	}
	// The file is only read, so an error of Close loses no data.
	defer file.Close()
	return read(file)
}

func (ap *app) printAccount(ac *acct.Account) error {
	tw := tabwriter.NewWriter(ap.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "route\tservice\tin time\tlate\trefused\tfailed\tcame back\tsent again\tbeside free\tbefore\twait\theld\ttook\t")
	for _, rt := range ac.Routes {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", rt.Name, rt.Service, rt.InTime, rt.Late, rt.Refused, rt.Failed,
			rt.CallerRetries, rt.Retries, rt.AvoidableRefusals, formatQuantiles(rt.Elapsed), formatQuantiles(rt.Wait), formatQuantiles(rt.ServiceTime), formatQuantiles(rt.Took))
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "from\tin time\tlate\trefused\tfailed\t")
	for _, wi := range ac.Windows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t\n", wi.From.Format("15:04:05"), wi.InTime, wi.Late, wi.Refused, wi.Failed)
	}
	if len(ac.Tenants) > 0 {
		fmt.Fprintln(tw)
		fmt.Fprintln(tw, "tenant\tin time\tlate\trefused\tover limit\tfailed\t")
		for _, tn := range ac.Tenants {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t\n", tn.Name, tn.InTime, tn.Late, tn.Refused, tn.OverLimit, tn.Failed)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, rt := range ac.Routes {
		if len(rt.Reasons) > 0 {
			fmt.Fprintf(ap.out, "\n%s was not answered: %s\n", rt.Name, formatCounts(rt.Reasons))
		}
		if len(rt.FailedCalls) > 0 {
			fmt.Fprintf(ap.out, "%s failed after a call that was not answered: %s\n", rt.Name, formatCounts(rt.FailedCalls))
		}
		if rt.NotDelivered > 0 {
			fmt.Fprintf(ap.out, "%s failed %d times though no backend server got the request\n", rt.Name, rt.NotDelivered)
		}
	}
	ap.printFleet(ac.Fleet)
	if ac.DroppedLines > 0 {
		fmt.Fprintf(ap.out, "\nthe daemons left out %d lines, so all counts are lower bounds\n", ac.DroppedLines)
	}
	ap.printSkipped(ac.Skipped)
	return nil
}

// printFleet prints the memory, CPU time and traffic of the daemons.
func (ap *app) printFleet(fl *acct.Fleet) {
	if fl == nil {
		return
	}
	const mega = 1e6
	fmt.Fprintf(ap.out, "\n%d processes: %.1f MB resident on average, %.1f at most; %.1f s of CPU time; %.1f MB of control traffic and %.1f MB of requests sent\n",
		fl.Processes, float64(fl.Resident)/mega, float64(fl.MaxResident)/mega, fl.CPUTime.Seconds(), float64(fl.ControlBytes)/mega, float64(fl.PathBytes)/mega)
	for _, row := range []struct {
		name string
		by   map[string]int64
	}{{"calls to the platform", fl.StoreCalls}, {"bytes read from the platform", fl.StoreBytesRead}, {"bytes on links", fl.LinkBytes}, {"ms that slots were held", fl.SlotTime}} {
		if len(row.by) > 0 {
			fmt.Fprintf(ap.out, "%s: %s\n", row.name, formatCounts(row.by))
		}
	}
}

// formatQuantiles formats the median and the 90th percentile in milliseconds.
func formatQuantiles(qu acct.Quantiles) string {
	return fmt.Sprintf("%d/%d ms", qu.Median.Round(time.Millisecond).Milliseconds(), qu.P90.Round(time.Millisecond).Milliseconds())
}

func formatCounts[N int | int64](by map[string]N) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(parts, ", ")
}
