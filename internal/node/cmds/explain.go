package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/stat/diag"
)

func (ap *app) explainCmd() *ffcli.Command {
	fs := ap.newFlagSet("explain")
	ap.jsonFlag(fs)
	id := fs.String("id", "", "id that the caller gave the request (required)")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "flamingomast explain --id ID LOG...", FlagSet: fs, Options: envOption(),
		ShortHelp: "Explain the outcome of a request from daemons' logs.",
		LongHelp: "The logs of all daemons that may have been involved are given as files, in any order.\n" +
			"The exit status is 0 if a line has the id, and 1 if none has.",
		Exec: func(_ context.Context, files []string) error {
			switch {
			case *id == "":
				return usageError("flamingomast explain: name the request with --id")
			case len(files) == 0:
				return usageError("flamingomast explain: name the logs")
			}
			lo := diag.New(*id)
			for _, name := range files {
				if err := readFile("explain", name, lo.Read); err != nil {
					return err
				}
			}
			rp := lo.Explain()
			if ap.json {
				if err := ap.printJSON(rp); err != nil {
					return err
				}
			} else {
				ap.printReport(rp)
			}
			if len(rp.Lines) == 0 {
				return fmt.Errorf("flamingomast explain: no line has the id %s", *id)
			}
			return nil
		},
	}
}

func (ap *app) printReport(rp *diag.Report) {
	for _, cause := range rp.Causes {
		fmt.Fprintln(ap.out, cause)
	}
	ap.printLines("lines of the request and of the calls made for it", rp.Lines)
	ap.printLines("state that the daemons acted on", rp.State)
	ap.printSkipped(rp.Skipped)
}

func (ap *app) printSkipped(sk diag.Skipped) {
	if sk.Foreign+sk.Malformed > 0 {
		fmt.Fprintf(ap.out, "\nskipped: %d lines of other programs, %d malformed lines\n", sk.Foreign, sk.Malformed)
	}
}

func (ap *app) printLines(title string, list []*diag.Line) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(ap.out, "\n%s:\n", title)
	for _, ln := range list {
		fields, err := json.Marshal(ln.Fields)
		if err != nil {
			fields = []byte(err.Error())
		}
		fmt.Fprintf(ap.out, "%s %s %s %s\n", ln.Time.Format("15:04:05.000"), ln.VM, ln.Event, fields)
	}
}
