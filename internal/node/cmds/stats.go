package cmds

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// debugVars holds the metrics of a daemon that stats prints.
type debugVars struct {
	Flamingomast struct {
		Held     int64             `json:"version-held"`
		Latest   int64             `json:"version-latest"`
		Members  int64             `json:"members"`
		Relay    bool              `json:"relay"`
		Links    int64             `json:"links"`
		BytesIn  int64             `json:"control-bytes-in"`
		BytesOut int64             `json:"control-bytes-out"`
		Calls    int64             `json:"platform-calls"`
		Running  int64             `json:"slots-running"`
		Waiting  int64             `json:"slots-waiting"`
		Outlet   map[string]series `json:"outlet"`
		Inlet    map[string]series `json:"inlet"`
	} `json:"flamingomast"`
}

// series holds the metrics of one service and class at the outlet or the inlet.
type series struct {
	Latency  quantiles        `json:"latency"`
	Queue    quantiles        `json:"queue"`
	Outcomes map[string]int64 `json:"outcomes"`
	Attempts map[string]int64 `json:"attempts"`
}

type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// meanAttempts returns the average number of attempts per request.
func (sr *series) meanAttempts() float64 {
	var sent, requests int64
	for times, n := range sr.Attempts {
		var k int64
		if _, err := fmt.Sscan(times, &k); err == nil {
			sent += k * n
			requests += n
		}
	}
	if requests == 0 {
		return 0
	}
	return float64(sent) / float64(requests)
}

func (ap *app) statsCmd() *ffcli.Command {
	fs := ap.newFlagSet("stats")
	ap.daemonFlag(fs)
	ap.jsonFlag(fs)
	return &ffcli.Command{
		Name: "stats", ShortUsage: "flamingomast stats --daemon ADDR", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show the request metrics of a daemon by service and class.",
		Exec: func(ctx context.Context, _ []string) error {
			var vs debugVars
			if err := ap.callDaemon(ctx, http.MethodGet, "/debug/vars", &vs); err != nil {
				return err
			}
			if ap.json {
				return ap.printJSON(vs.Flamingomast)
			}
			ap.printStats(&vs)
			return nil
		},
	}
}

func (ap *app) printStats(vs *debugVars) {
	fm := &vs.Flamingomast
	role := "member"
	if fm.Relay {
		role = "relay"
	}
	fmt.Fprintf(ap.out, "%s, %d links, %d members known; holds version %d of %d; control %d bytes in, %d out; %d platform calls\n",
		role, fm.Links, fm.Members, fm.Held, fm.Latest, fm.BytesIn, fm.BytesOut, fm.Calls)
	fmt.Fprintf(ap.out, "backend server: %d requests running, %d waiting\n", fm.Running, fm.Waiting)
	ap.printSeries("outlet", fm.Outlet)
	ap.printSeries("inlet", fm.Inlet)
}

func (ap *app) printSeries(side string, all map[string]series) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintf(ap.out, "%-7s %-28s %9s %9s %9s %9s %9s  %s\n", strings.ToUpper(side), "SERVICE/CLASS", "REQUESTS", "P50 MS", "P99 MS", "WAIT P99", "ATTEMPTS", "OUTCOMES")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		sr := all[name]
		fmt.Fprintf(ap.out, "%-7s %-28s %9d %9.2f %9.2f %9.2f %9.3f  %s\n", "", name, sr.Latency.Count, sr.Latency.P50, sr.Latency.P99, sr.Queue.P99, sr.meanAttempts(), formatOutcomes(sr.Outcomes))
	}
}

// formatOutcomes lists the outcomes with their counts, largest first.
func formatOutcomes(m map[string]int64) string {
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, m[name])
	}
	return strings.Join(names, ", ")
}
