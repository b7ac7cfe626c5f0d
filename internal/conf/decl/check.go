package decl

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// The limits of what may be declared.
const (
	maxSlots    = 10_000
	maxConns    = 100_000
	maxQueue    = 10_000
	maxDeadline = 10 * time.Minute
	maxWeight   = 1_000_000
	maxPriority = 100
	maxAttempts = 100
)

// The longest names, in bytes: a label and a whole name of RFC 1035.
const (
	maxName   = 63
	maxHost   = 253
	maxMethod = 20
)

// named reports whether a text is 1 to most of a-z, 0-9, "-" and ".", with a letter or
// digit at both ends. It stands in place of a regular expression, since a version has
// thousands of names.
func named(s string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z' || c >= '0' && c <= '9':
		case (c == '-' || c == '.') && i > 0 && i < len(s)-1:
		default:
			return false
		}
	}
	return true
}

// method reports whether a text is 1 to 20 capital letters.
func method(s string) bool {
	if s == "" || len(s) > maxMethod {
		return false
	}
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return true
}

// Check returns all that is wrong with ms as a whole. What it lets pass has no
// dangling reference, no impossible share and no route that can never match.
func Check(ms *Mesh) strict.Problems {
	ck := &checker{ms: ms}
	ck.regions = index(ck, "region", ms.Regions, func(rg *Region) (string, strict.Pos) { return rg.Name, rg.Pos })
	ck.domains = index(ck, "failure domain", ms.Domains, func(dm *Domain) (string, strict.Pos) { return dm.Name, dm.Pos })
	ck.services = index(ck, "service", ms.Services, func(sv *Service) (string, strict.Pos) { return sv.Name, sv.Pos })
	ck.classes = index(ck, "class", ms.Classes, func(cl *Class) (string, strict.Pos) { return cl.Name, cl.Pos })
	index(ck, "VM", ms.VMs, func(vm *VM) (string, strict.Pos) { return vm.Name, vm.Pos })
	index(ck, "caller limits", ms.CallerLimits, func(cl *CallerLimits) (string, strict.Pos) { return cl.Name, cl.Pos })
	index(ck, "route", ms.Routes, func(rt *Route) (string, strict.Pos) { return rt.Name, rt.Pos })
	ck.checkDomains()
	ck.checkServices()
	ck.checkVMs()
	ck.checkClasses()
	ck.checkRoutes()
	ck.checkOverlaps()
	ck.checkPlacements()
	ck.checkLimits()
	return ck.prs
}

// The least that callers are given; below it no request could be sent.
const (
	minHeadBytes = 256
	minTime      = 10 * time.Millisecond
)

func (ck *checker) checkLimits() {
	for i, cl := range ck.ms.CallerLimits {
		of := fmt.Sprintf("caller limits %q", cl.Name)
		if i > 0 {
			ck.add(cl.Pos, "put them together in one entry", "%s are a second entry", of)
		}
		if cl.HeadBytes != 0 && cl.HeadBytes < minHeadBytes || cl.BodyBytes < 0 {
			ck.add(cl.Pos, fmt.Sprintf("set head-bytes to %d or more and body-bytes to 0 or more", minHeadBytes), "%s have head-bytes %d and body-bytes %d", of, cl.HeadBytes, cl.BodyBytes)
		}
		for name, du := range map[string]Duration{"head": cl.Head, "idle": cl.Idle} {
			if du != 0 && time.Duration(du) < minTime {
				ck.add(cl.Pos, fmt.Sprintf("set it to %s or more", minTime), "%s have %s %s", of, name, time.Duration(du))
			}
		}
	}
}

type checker struct {
	ms                                  *Mesh
	regions, domains, services, classes map[string]bool
	prs                                 strict.Problems
}

// index returns the names of a list and reports bad and repeated ones.
func index[T any](ck *checker, kind string, list []T, name func(*T) (string, strict.Pos)) map[string]bool {
	seen := make(map[string]strict.Pos, len(list))
	names := make(map[string]bool, len(list))
	for i := range list {
		n, pos := name(&list[i])
		if !named(n, maxName) {
			ck.add(pos, "set \"name\" to 1 to 63 of a-z, 0-9, \"-\" and \".\", with a letter or digit at both ends", "%s name %q is not allowed", kind, n)
			continue
		}
		if first, ok := seen[n]; ok {
			ck.add(pos, "remove or rename one of the two", "%s %q is already declared at %s", kind, n, first)
			continue
		}
		seen[n] = pos
		names[n] = true
	}
	return names
}

func (ck *checker) add(pos strict.Pos, remedy, format string, args ...any) {
	ck.prs.Add(pos, fmt.Sprintf(format, args...), remedy)
}

func (ck *checker) ref(pos strict.Pos, kind, name string, known map[string]bool, of string) {
	if known[name] {
		return
	}
	names := make([]string, 0, len(known))
	for n := range known {
		names = append(names, n)
	}
	ck.add(pos, strict.Suggest(name, names), "%s names the %s %q, which is not declared", of, kind, name)
}

func (ck *checker) within(pos strict.Pos, of, key string, got, low, high int) {
	if got < low || got > high {
		ck.add(pos, fmt.Sprintf("set it from %d to %d", low, high), "%s has %s %d", of, key, got)
	}
}

func (ck *checker) deadline(pos strict.Pos, of string, du Duration) {
	if time.Duration(du) > maxDeadline {
		ck.add(pos, fmt.Sprintf("set it to %s at most", maxDeadline), "%s has a deadline of %s", of, time.Duration(du))
	}
}

func (ck *checker) checkDomains() {
	for _, dm := range ck.ms.Domains {
		ck.ref(dm.Pos, "region", dm.Region, ck.regions, fmt.Sprintf("failure domain %q", dm.Name))
		if slices.Contains([]string{OrderOwn, OrderRegion, OrderAny}, dm.Name) {
			ck.add(dm.Pos, "rename it", "failure domain %q has a name that placements use as a word", dm.Name)
		}
	}
}

func (ck *checker) checkServices() {
	for _, sv := range ck.ms.Services {
		of := fmt.Sprintf("service %q", sv.Name)
		if sv.Announced {
			ck.announced(&sv, of)
		} else {
			ck.within(sv.Pos, of, "port", sv.Port, 1, 65535)
			ck.within(sv.Pos, of, "slots", sv.Slots, 1, maxSlots)
		}
		ck.within(sv.Pos, of, "connections", sv.Connections, 0, maxConns)
		if sv.Health != "" && !strings.HasPrefix(sv.Health, "/") {
			ck.add(sv.Pos, "begin it with \"/\"", "%s has the health path %q", of, sv.Health)
		}
		if sv.Connections > 0 && sv.Connections < sv.Slots {
			ck.add(sv.Pos, "give it as many connections as slots or more", "%s has %d connections for %d slots", of, sv.Connections, sv.Slots)
		}
		if sv.Class != "" {
			ck.ref(sv.Pos, "class", sv.Class, ck.classes, of)
		}
		ck.deadline(sv.Pos, of, sv.Deadline)
	}
}

// announced reports what an announced service declares besides what its
// backend servers say themselves: of two sources one would be wrong.
func (ck *checker) announced(sv *Service, of string) {
	if sv.Port != 0 || sv.Slots != 0 {
		ck.add(sv.Pos, "leave out port and slots, or announced", "%s is announced and has port %d and slots %d", of, sv.Port, sv.Slots)
	}
}

func (ck *checker) checkVMs() {
	for _, vm := range ck.ms.VMs {
		of := fmt.Sprintf("VM %q", vm.Name)
		ck.ref(vm.Pos, "failure domain", vm.Domain, ck.domains, of)
		ck.ref(vm.Pos, "service", vm.Service, ck.services, of)
	}
}

func (ck *checker) checkClasses() {
	sum := 0
	for _, cl := range ck.ms.Classes {
		of := fmt.Sprintf("class %q", cl.Name)
		ck.within(cl.Pos, of, "share", cl.Share, 0, 100)
		ck.within(cl.Pos, of, "queue", cl.Queue, 0, maxQueue)
		sum += cl.Share
		if sum > 100 {
			ck.add(cl.Pos, "lower the shares until they add up to 100 or less", "with class %q the shares add up to %d percent", cl.Name, sum)
		}
	}
}

func (ck *checker) checkRoutes() {
	for _, rt := range ck.ms.Routes {
		of := "route " + strconv.Quote(rt.Name)
		ck.checkMatch(&rt, of)
		ck.checkTargets(&rt, of)
		if rt.Class != "" {
			ck.ref(rt.Pos, "class", rt.Class, ck.classes, of)
		}
		ck.deadline(rt.Pos, of, rt.Deadline)
		ck.within(rt.Pos, of, "priority", rt.Priority, 0, maxPriority)
		ck.within(rt.Pos, of, "attempts", rt.Attempts, 0, maxAttempts)
		if rt.Repeat != "" && !slices.Contains([]Repeat{RepeatSafe, RepeatNever, RepeatAlways}, rt.Repeat) {
			ck.add(rt.Pos, "set it to safe, never or always", "%s has repeat %q", of, rt.Repeat)
		}
	}
}

func (ck *checker) checkMatch(rt *Route, of string) {
	mt := &rt.Match
	pos := mt.Pos
	if pos.Line == 0 {
		pos = rt.Pos
	}
	if !named(mt.Host, maxHost) {
		ck.add(pos, "set match.host to the host name that callers use, in small letters and without a port", "%s matches the host %q", of, mt.Host)
	}
	if mt.PathPrefix != "" && !strings.HasPrefix(mt.PathPrefix, "/") {
		ck.add(pos, "begin it with \"/\"", "%s has the path prefix %q", of, mt.PathPrefix)
	}
	for i, m := range mt.Methods {
		if !method(m) || m == http.MethodConnect {
			ck.add(pos, "write methods in capital letters, as GET or POST; CONNECT is not carried", "%s matches the method %q", of, m)
		}
		if slices.Contains(mt.Methods[:i], m) {
			ck.add(pos, "remove one of the two", "%s names the method %q twice", of, m)
		}
	}
	for h := range mt.Headers {
		if h == "" || http.CanonicalHeaderKey(h) == "Host" || strings.ContainsAny(h, " :\r\n") {
			ck.add(pos, "name a header other than Host, without spaces", "%s matches the header %q", of, h)
		}
	}
}

func (ck *checker) checkTargets(rt *Route, of string) {
	if len(rt.To) == 0 {
		ck.add(rt.Pos, "give \"to\" one service or more", "%s leads nowhere", of)
		return
	}
	sum := 0
	for i, tg := range rt.To {
		ck.ref(tg.Pos, "service", tg.Service, ck.services, of)
		ck.within(tg.Pos, of, "weight", tg.Weight, 0, maxWeight)
		if slices.ContainsFunc(rt.To[:i], func(other Target) bool { return other.Service == tg.Service }) {
			ck.add(tg.Pos, "add the two weights up", "%s names the service %q twice", of, tg.Service)
		}
		sum += tg.Weight
	}
	if sum <= 0 {
		ck.add(rt.Pos, "give one target a weight of 1 or more", "%s has weights that add up to %d", of, sum)
	}
}

// checkOverlaps reports routes of one specificity that take the same requests:
// the later of the two would never match, or match only in part.
func (ck *checker) checkOverlaps() {
	first := make(map[string]*Route, len(ck.ms.Routes))
	for i := range ck.ms.Routes {
		rt := &ck.ms.Routes[i]
		for _, key := range overlapKeys(&rt.Match) {
			if rt0, ok := first[key]; ok && rt0.Name != rt.Name {
				ck.add(rt.Pos, "remove one of the two, or let them differ in path-prefix, methods or headers",
					"route %q can never match all it names: route %q at %s takes the same requests", rt.Name, rt0.Name, rt0.Pos)
				break
			}
			first[key] = rt
		}
	}
}

func overlapKeys(mt *Match) []string {
	var hs []string
	for h, v := range mt.Headers {
		hs = append(hs, fmt.Sprintf("%s=%q", http.CanonicalHeaderKey(h), v))
	}
	slices.Sort(hs)
	prefix := mt.PathPrefix
	if prefix == "" {
		prefix = "/"
	}
	if !mt.Literal && prefix != "/" {
		prefix = strings.TrimSuffix(prefix, "/")
	}
	base := mt.Host + " " + prefix + " " + strings.Join(hs, ",") + " "
	if len(mt.Methods) == 0 {
		return []string{base}
	}
	keys := make([]string, len(mt.Methods))
	for i, m := range mt.Methods {
		keys[i] = base + m
	}
	return keys
}

func (ck *checker) checkPlacements() {
	seen := map[string]strict.Pos{}
	for _, pl := range ck.ms.Placements {
		of := fmt.Sprintf("the placement of %q", pl.Service)
		ck.ref(pl.Pos, "service", pl.Service, ck.services, of)
		if first, ok := seen[pl.Service]; ok {
			ck.add(pl.Pos, "remove one of the two", "%s is already declared at %s", of, first)
		}
		seen[pl.Service] = pl.Pos
		if len(pl.Order) == 0 {
			ck.add(pl.Pos, "list failure domains, or the words own, region and any", "%s has no order", of)
		}
		for i, o := range pl.Order {
			if o != OrderOwn && o != OrderRegion && o != OrderAny {
				ck.ref(pl.Pos, "failure domain", o, ck.domains, of)
			}
			if slices.Contains(pl.Order[:i], o) {
				ck.add(pl.Pos, "remove one of the two", "%s names %q twice", of, o)
			}
		}
	}
}
