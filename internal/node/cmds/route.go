package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/snap"
)

// headers is a repeatable flag of the form "Name: value".
type headers http.Header

// String returns the empty string, as there is no default to show in the usage text.
func (hs headers) String() string { return "" }

// Set parses and adds a header.
func (hs headers) Set(s string) error {
	name, value, ok := strings.Cut(s, ":")
	if !ok {
		return fmt.Errorf("write a header as \"Name: value\"")
	}
	http.Header(hs).Add(strings.TrimSpace(name), strings.TrimSpace(value))
	return nil
}

// routeResult describes how a request would be routed.
type routeResult struct {
	Route    string        `json:"route"`
	Class    string        `json:"class"`
	Deadline string        `json:"deadline"`
	Repeat   decl.Repeat   `json:"repeat"`
	Targets  []routeTarget `json:"targets"`
}

// routeTarget is a service that may receive the request.
type routeTarget struct {
	Service string `json:"service"`
	// Percent is its share of the route's requests.
	Percent float64    `json:"percent"`
	Tiers   [][]string `json:"tiers"`
	Spill   bool       `json:"spill"`
	VMs     int        `json:"vms"`
}

func (ap *app) routeCmd() *ffcli.Command {
	fs := ap.newFlagSet("route")
	ap.jsonFlag(fs)
	from := fs.String("from", "", "failure domain of the caller's daemon (the first declared one if empty)")
	hdr := headers{}
	fs.Var(hdr, "header", "a header of the request, \"Name: value\"; may be given more than once")
	return &ffcli.Command{
		Name: "route", ShortUsage: "flamingomast route [--from DOMAIN] [--header H]... DIR METHOD URL", FlagSet: fs, Options: envOption(),
		ShortHelp: "Show how the declarations would route a request.",
		LongHelp:  "URL may be http://HOST/PATH or HOST/PATH.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 3 {
				return usageError("name a directory, a method and a URL")
			}
			sn, err := compileDir(args[0], *from)
			if err != nil {
				return err
			}
			rr, err := matchRoute(sn, args[1], args[2], http.Header(hdr))
			if err != nil {
				return err
			}
			if ap.json {
				return ap.printJSON(rr)
			}
			ap.printRoute(sn, rr)
			return nil
		},
	}
}

// compileDir compiles the declarations in dir as a daemon in the failure domain from does.
func compileDir(dir, from string) (*snap.Snapshot, error) {
	ms, co, err := readDir([]string{dir})
	if err != nil {
		return nil, err
	}
	declared := false
	for _, dm := range ms.Domains {
		declared = declared || dm.Name == from
	}
	switch {
	case from == "" && len(ms.Domains) > 0:
		from = ms.Domains[0].Name
	case !declared:
		return nil, usageError(fmt.Sprintf("--from %q is not a declared failure domain", from))
	}
	return snap.Compile(0, co, from)
}

func matchRoute(sn *snap.Snapshot, method, target string, hdr http.Header) (*routeResult, error) {
	if !strings.Contains(target, "://") {
		target = "http://" + target
	}
	u, err := url.Parse(target)
	if err != nil || u.Host == "" {
		return nil, usageError(fmt.Sprintf("%q is not a URL with a host", target))
	}
	path := u.Path
	if path == "" {
		path = "/"
	}
	rt := sn.Match(method, u.Host, path, hdr)
	if rt == nil {
		return nil, fmt.Errorf("no route takes %s %s%s: callers get 404, not-run, no-route", method, u.Host, path)
	}
	rr := &routeResult{Route: rt.Name, Class: rt.Class.Name, Deadline: rt.Deadline.String(), Repeat: rt.Repeat}
	prevWeight := 0
	for _, tg := range rt.Targets {
		n := 0
		for _, vm := range sn.VMs {
			if vm.Service == tg.Service.Name {
				n++
			}
		}
		rr.Targets = append(rr.Targets, routeTarget{
			Service: tg.Service.Name, Percent: 100 * float64(tg.CumulativeWeight-prevWeight) / float64(rt.TotalWeight()),
			Tiers: tg.Service.Tiers, Spill: tg.Service.Spill, VMs: n,
		})
		prevWeight = tg.CumulativeWeight
	}
	return rr, nil
}

// repeatDescriptions describes the retry rules.
var repeatDescriptions = map[decl.Repeat]string{
	decl.RepeatSafe:   "only with a safe method",
	decl.RepeatNever:  "never",
	decl.RepeatAlways: "always",
}

func (ap *app) printRoute(sn *snap.Snapshot, rr *routeResult) {
	fmt.Fprintf(ap.out, "route     %s, seen from %s\n", rr.Route, sn.Domain)
	fmt.Fprintf(ap.out, "class     %s\n", rr.Class)
	fmt.Fprintf(ap.out, "deadline  %s\n", rr.Deadline)
	fmt.Fprintf(ap.out, "repeated  %s, after it may have run\n", repeatDescriptions[rr.Repeat])
	for _, tg := range rr.Targets {
		var tiers []string
		for _, tier := range tg.Tiers {
			tiers = append(tiers, strings.Join(tier, "+"))
		}
		separator := " then "
		if !tg.Spill {
			separator = " or, without any backend server there, "
		}
		fmt.Fprintf(ap.out, "%5.1f%%    %s, %d VMs: %s\n", tg.Percent, tg.Service, tg.VMs, strings.Join(tiers, separator))
	}
}
