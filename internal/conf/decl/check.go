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

// Upper limits of declared values.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 10_000
	maxDeadline    = 10 * time.Minute
	maxWeight      = 1_000_000
	maxAttempts    = 100
	maxRate        = 10_000_000
)

// MaxPriority is the priority of the least urgent requests.
const MaxPriority = 100

// Maximum lengths in bytes. Names have the limit of a label in RFC 1035, hosts that of a full
// domain name.
const (
	maxNameLen   = 63
	maxHostLen   = 253
	maxMethodLen = 20
)

// isName reports whether s is 1 to maxLen of a-z, 0-9, "-" and ".", with a letter or digit at both
// ends. A regular expression would be too slow, since a version has thousands of names.
func isName(s string, maxLen int) bool {
	if s == "" || len(s) > maxLen {
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

// isMethod reports whether s is 1 to maxMethodLen capital letters.
func isMethod(s string) bool {
	if s == "" || len(s) > maxMethodLen {
		return false
	}
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return true
}

// Check returns all problems of ms. A mesh without problems has no dangling reference, no
// impossible shares or weights and no route that can never match.
func Check(ms *Mesh) strict.Problems {
	ck := &checker{ms: ms}
	ck.regions = indexNames(ck, "region", ms.Regions, func(rg *Region) (string, strict.Pos) { return rg.Name, rg.Pos })
	ck.domains = indexNames(ck, "failure domain", ms.Domains, func(dm *Domain) (string, strict.Pos) { return dm.Name, dm.Pos })
	ck.services = indexNames(ck, "service", ms.Services, func(sv *Service) (string, strict.Pos) { return sv.Name, sv.Pos })
	ck.classes = indexNames(ck, "class", ms.Classes, func(cl *Class) (string, strict.Pos) { return cl.Name, cl.Pos })
	indexNames(ck, "VM", ms.VMs, func(vm *VM) (string, strict.Pos) { return vm.Name, vm.Pos })
	indexNames(ck, "caller limits", ms.CallerLimits, func(cl *CallerLimits) (string, strict.Pos) { return cl.Name, cl.Pos })
	indexNames(ck, "tenant", ms.Tenants, func(tn *Tenant) (string, strict.Pos) { return tn.Name, tn.Pos })
	indexNames(ck, "route", ms.Routes, func(rt *Route) (string, strict.Pos) { return rt.Name, rt.Pos })
	ck.checkReferences()
	ck.checkDomains()
	ck.checkServices()
	ck.checkClasses()
	ck.checkRoutes()
	ck.checkOverlaps()
	ck.checkPlacements()
	ck.checkLimits()
	ck.checkTenants()
	return ck.prs
}

// Lower limits of CallerLimits; with less, callers could send no request.
const (
	minHeadBytes = 256
	minTimeout   = 10 * time.Millisecond
)

func (ck *checker) checkLimits() {
	for i, cl := range ck.ms.CallerLimits {
		subject := fmt.Sprintf("caller limits %q", cl.Name)
		if i > 0 {
			ck.add(cl.Pos, "merge them into one entry", "%s are declared in a second entry", subject)
		}
		if cl.HeadBytes != 0 && cl.HeadBytes < minHeadBytes || cl.BodyBytes < 0 {
			ck.add(cl.Pos, fmt.Sprintf("set head-bytes to %d or more and body-bytes to 0 or more", minHeadBytes), "%s have head-bytes %d and body-bytes %d", subject, cl.HeadBytes, cl.BodyBytes)
		}
		for name, du := range map[string]Duration{"head": cl.Head, "idle": cl.Idle} {
			if du != 0 && time.Duration(du) < minTimeout {
				ck.add(cl.Pos, fmt.Sprintf("set it to %s or more", minTimeout), "%s have %s %s", subject, name, time.Duration(du))
			}
		}
	}
}

type checker struct {
	ms                                  *Mesh
	regions, domains, services, classes map[string]bool
	prs                                 strict.Problems
}

// indexNames returns the set of names in a list and reports invalid and duplicate names.
func indexNames[T any](ck *checker, kind string, list []T, name func(*T) (string, strict.Pos)) map[string]bool {
	seen := make(map[string]strict.Pos, len(list))
	names := make(map[string]bool, len(list))
	for i := range list {
		n, pos := name(&list[i])
		if !isName(n, maxNameLen) {
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

func (ck *checker) checkRange(pos strict.Pos, subject, key string, got, low, high int) {
	if got < low || got > high {
		ck.add(pos, fmt.Sprintf("set it from %d to %d", low, high), "%s has %s %d", subject, key, got)
	}
}

func (ck *checker) checkDeadline(pos strict.Pos, subject string, du Duration) {
	if time.Duration(du) > maxDeadline {
		ck.add(pos, fmt.Sprintf("set it to %s at most", maxDeadline), "%s has a deadline of %s", subject, time.Duration(du))
	}
}

func (ck *checker) checkDomains() {
	for _, dm := range ck.ms.Domains {
		ck.checkRef(dm.Pos, "region", dm.Region, ck.regions, "failure domain ", dm.Name)
		if slices.Contains([]string{OrderOwn, OrderRegion, OrderAny}, dm.Name) {
			ck.add(dm.Pos, "rename it", "failure domain %q has a name that is a keyword of placement orders", dm.Name)
		}
	}
}

func (ck *checker) checkServices() {
	for _, sv := range ck.ms.Services {
		subject := fmt.Sprintf("service %q", sv.Name)
		if sv.Announced {
			ck.checkAnnounced(&sv, subject)
		} else {
			ck.checkRange(sv.Pos, subject, "port", sv.Port, 1, 65535)
			ck.checkRange(sv.Pos, subject, "slots", sv.Slots, 1, maxSlots)
		}
		ck.checkRange(sv.Pos, subject, "connections", sv.Connections, 0, maxConnections)
		if sv.Health != "" && !strings.HasPrefix(sv.Health, "/") {
			ck.add(sv.Pos, "begin it with \"/\"", "%s has the health path %q", subject, sv.Health)
		}
		if sv.Connections > 0 && sv.Connections < sv.Slots {
			ck.add(sv.Pos, "give it as many connections as slots or more", "%s has %d connections for %d slots", subject, sv.Connections, sv.Slots)
		}
		ck.checkDeadline(sv.Pos, subject, sv.Deadline)
	}
}

// checkAnnounced reports a port or slots declared for an announced service. Its backend servers
// announce both, and one of two sources would be wrong.
func (ck *checker) checkAnnounced(sv *Service, subject string) {
	if sv.Port != 0 || sv.Slots != 0 {
		ck.add(sv.Pos, "leave out port and slots, or announced", "%s is announced and has port %d and slots %d", subject, sv.Port, sv.Slots)
	}
}

func (ck *checker) checkClasses() {
	sum := 0
	for _, cl := range ck.ms.Classes {
		subject := fmt.Sprintf("class %q", cl.Name)
		ck.checkRange(cl.Pos, subject, "share", cl.Share, 0, 100)
		ck.checkRange(cl.Pos, subject, "queue", cl.Queue, 0, maxQueue)
		sum += cl.Share
		if sum > 100 {
			ck.add(cl.Pos, "lower the shares until they add up to 100 or less", "with class %q the shares add up to %d percent", cl.Name, sum)
		}
	}
}

func (ck *checker) checkRoutes() {
	for _, rt := range ck.ms.Routes {
		subject := "route " + strconv.Quote(rt.Name)
		ck.checkMatch(&rt, subject)
		ck.checkTargets(&rt, subject)
		ck.checkDeadline(rt.Pos, subject, rt.Deadline)
		ck.checkRange(rt.Pos, subject, "priority", rt.Priority, 0, MaxPriority)
		ck.checkRange(rt.Pos, subject, "attempts", rt.Attempts, 0, maxAttempts)
		if rt.Repeat != "" && !slices.Contains([]Repeat{RepeatSafe, RepeatNever, RepeatAlways}, rt.Repeat) {
			ck.add(rt.Pos, "set it to safe, never or always", "%s has repeat %q", subject, rt.Repeat)
		}
	}
}

func (ck *checker) checkMatch(rt *Route, subject string) {
	mt := &rt.Match
	pos := mt.Pos
	if pos.Line == 0 {
		pos = rt.Pos
	}
	if !isName(mt.Host, maxHostLen) {
		ck.add(pos, "set match.host to the host name that callers use, in lower case and without a port", "%s matches the host %q", subject, mt.Host)
	}
	if mt.PathPrefix != "" && !strings.HasPrefix(mt.PathPrefix, "/") {
		ck.add(pos, "begin it with \"/\"", "%s has the path prefix %q", subject, mt.PathPrefix)
	}
	for i, m := range mt.Methods {
		if !isMethod(m) || m == http.MethodConnect {
			ck.add(pos, "write methods in upper case, such as GET or POST; CONNECT is not supported", "%s matches the method %q", subject, m)
		}
		if slices.Contains(mt.Methods[:i], m) {
			ck.add(pos, "remove one of the two", "%s names the method %q twice", subject, m)
		}
	}
	for h := range mt.Headers {
		if h == "" || http.CanonicalHeaderKey(h) == "Host" || strings.ContainsAny(h, " :\r\n") {
			ck.add(pos, "name a header other than Host, without spaces", "%s matches the header %q", subject, h)
		}
	}
}

func (ck *checker) checkTargets(rt *Route, subject string) {
	if len(rt.To) == 0 {
		return
	}
	sum := 0
	for i, tg := range rt.To {
		ck.checkRange(tg.Pos, subject, "weight", tg.Weight, 0, maxWeight)
		if slices.ContainsFunc(rt.To[:i], func(other Target) bool { return other.Service == tg.Service }) {
			ck.add(tg.Pos, "merge the two targets and add their weights", "%s names the service %q twice", subject, tg.Service)
		}
		sum += tg.Weight
	}
	if sum <= 0 {
		ck.add(rt.Pos, "give one target a weight of 1 or more", "%s has weights that add up to %d", subject, sum)
	}
}

// checkOverlaps reports routes of equal specificity that match the same requests: the later of the
// two would match none of them, or only some.
func (ck *checker) checkOverlaps() {
	first := make(map[string]*Route, len(ck.ms.Routes))
	for i := range ck.ms.Routes {
		rt := &ck.ms.Routes[i]
		for _, key := range overlapKeys(&rt.Match) {
			if prior, ok := first[key]; ok && prior.Name != rt.Name {
				ck.add(rt.Pos, "remove one of the two, or make them differ in path-prefix, methods or headers",
					"route %q is shadowed in whole or in part: route %q at %s matches the same requests", rt.Name, prior.Name, prior.Pos)
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
		subject := fmt.Sprintf("the placement of %q", pl.Service)
		if first, ok := seen[pl.Service]; ok {
			ck.add(pl.Pos, "remove one of the two", "%s is already declared at %s", subject, first)
		}
		seen[pl.Service] = pl.Pos
		if len(pl.Order) == 0 {
			ck.add(pl.Pos, "list failure domains, or the keywords own, region and any", "%s has no order", subject)
		}
		for i, o := range pl.Order {
			if slices.Contains(pl.Order[:i], o) {
				ck.add(pl.Pos, "remove one of the two", "%s names %q twice", subject, o)
			}
		}
	}
}
