// Command review-rig plays the scripts of the independent review: it starts the project's daemons
// as processes, beside a store, workers, an operator and clients that follow the users' pages.
package main

import (
	"fmt"
	"os"
)

// The results of a case, its exit status.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripts by name. trouble is unset for a run without the disruption.
var cases = map[string]func(rec *record, trouble bool) int{
	"late-config":     lateConfig,
	"lost-answer":     lostAnswer,
	"config-fuzz":     configFuzz,
	"drain-fuzz":      drainFuzz,
	"forgotten-leave": forgottenLeave,
	"stress":          stressCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	status := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.close()
	os.Exit(status)
}
