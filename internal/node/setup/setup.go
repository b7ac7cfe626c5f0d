package setup

import (
	"flag"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"go.yaml.in/yaml/v3"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
	"github.com/flamingomast/flamingomast/internal/path/retry"
	"github.com/flamingomast/flamingomast/internal/quota/admit"
)

// EnvPrefix is the prefix of the environment variables: the setting failure-domain is read from
// FLAMINGOMAST_FAILURE_DOMAIN.
const EnvPrefix = "FLAMINGOMAST"

// Settings holds the settings of a daemon.
type Settings struct {
	VM, Domain string
	// Outlet, Inlet, Control and Admin are the addresses (host:port) to listen on. Other VMs connect
	// to Inlet and Control.
	Outlet, Inlet, Control, Admin string
	// Ready and Announce are additional addresses to listen on, besides Admin, for readiness checks
	// and for announcements of the backend server; empty for none.
	Ready, Announce string
	// Adapter names the platform adapter; empty for the project's own interface.
	Adapter string
	// Platform is the address of the key-value service.
	Platform string
	// Service is the service that runs on this VM, if known at startup.
	Service string
	// Server is the address of the backend server on this VM, if known at startup. A starting
	// daemon asks it whether it serves.
	Server string
	// ServerSource is the IP address from which the backend server calls the outlet; empty if callers
	// use it as well.
	ServerSource string
	// Domains maps all failure domains to their regions, for platforms whose configurations do not
	// declare them.
	Domains map[string]string
	// Seeds are the control addresses of other daemons to try before the platform is asked.
	Seeds []string
	// Token is the secret shared by all daemons.
	Token        string
	LogLevel     slog.Level
	LogSample    float64
	DrainTimeout time.Duration
	// MemoryLimit is the memory limit of the whole process in bytes.
	MemoryLimit int64
	// LinkRate is the rate of the VM's network link in bit/s, 0 if unknown.
	LinkRate float64
	// FirstStart is set if the whole mesh starts for the first time, so that no earlier process has
	// acknowledged anything.
	FirstStart bool
	// RetryBound limits the retries of all daemons together, per service.
	RetryBound retry.Bound
	// QuotaTolerance is by how much all daemons together may exceed the limit of a tenant.
	QuotaTolerance admit.Tolerance
}

// String returns the settings that identify a daemon and those that can change while it runs, without
// secrets.
func (se Settings) String() string {
	token := "unset"
	if se.Token != "" {
		token = "set"
	}
	return fmt.Sprintf("vm=%s failure-domain=%s outlet=%s inlet=%s control=%s admin=%s platform=%s seeds=%s mesh-token=%s log-level=%s access-log-sample=%g drain-timeout=%s",
		se.VM, se.Domain, se.Outlet, se.Inlet, se.Control, se.Admin, se.Platform, strings.Join(se.Seeds, ","), token,
		strings.ToLower(se.LogLevel.String()), se.LogSample, se.DrainTimeout)
}

// LogValue returns the settings without secrets.
func (se Settings) LogValue() slog.Value { return slog.StringValue(se.String()) }

// rawSettings holds the settings as strings, before validation.
type rawSettings struct {
	vm, domain, outlet, inlet, control, admin string
	platform, seeds, token, logLevel          string
	ready, announce, adapter                  string
	service, server, serverSource, domains    string
	logSample                                 string
	drainTimeout                              string
	memoryMB, linkMbps                        string
	retryRatio, retrySpare                    string
	quotaSpare, quotaOverage, quotaWindow     string
	firstStart                                string
}

// addFlags registers the settings as flags.
func (rw *rawSettings) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&rw.vm, "vm", "", "name of this VM in the inventory (required)")
	fs.StringVar(&rw.domain, "failure-domain", "", "failure domain that this VM is in (required)")
	fs.StringVar(&rw.outlet, "outlet", "127.0.0.1:8080", "address for callers, IP:PORT")
	fs.StringVar(&rw.inlet, "inlet", "", "address for the outlets of other VMs, IP:PORT (required)")
	fs.StringVar(&rw.control, "control", "", "address for the daemons of other VMs, IP:PORT (required)")
	fs.StringVar(&rw.admin, "admin", "127.0.0.1:8081", "address for announcements, health, metrics and operators, IP:PORT")
	fs.StringVar(&rw.platform, "platform", "", "address of the platform's key-value service, IP:PORT (required)")
	fs.StringVar(&rw.ready, "ready", "", "additional address for readiness checks, IP:PORT")
	fs.StringVar(&rw.announce, "announce", "", "additional address for announcements of the backend server, IP:PORT")
	fs.StringVar(&rw.adapter, "adapter", "", "name of the platform adapter; empty for flamingomast's own interface")
	fs.StringVar(&rw.service, "service", "", "service that runs on this VM, reported to the backend servers that it calls")
	fs.StringVar(&rw.server, "server", "", "address of the backend server on this VM, which is asked at startup whether it serves, IP:PORT")
	fs.StringVar(&rw.serverSource, "server-source", "", "IP address from which only the backend server on this VM calls the outlet; its calls need no API key")
	fs.StringVar(&rw.domains, "failure-domains", "", "all failure domains with their regions, where the platform does not declare them, NAME=REGION,…")
	fs.StringVar(&rw.seeds, "seeds", "", "control addresses of other daemons to try before the platform is asked, IP:PORT,…")
	fs.StringVar(&rw.token, "mesh-token", "", "secret shared by all daemons; empty for none")
	fs.StringVar(&rw.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&rw.logSample, "access-log-sample", "1", "share of answered requests that are logged, 0 to 1; their number is bounded in any case")
	fs.StringVar(&rw.drainTimeout, "drain-timeout", "30s", "how long a shutdown waits for running requests")
	fs.StringVar(&rw.memoryMB, "memory-mb", "32", "memory limit of the whole process in megabytes")
	fs.StringVar(&rw.linkMbps, "link-mbps", "0", "rate of the VM's network link in Mbit/s, used to pace large responses; 0 for no pacing")
	fs.StringVar(&rw.retryRatio, "retry-ratio", "", "retries allowed per request of a service, over all daemons; 0.2 unless set, 0 for none")
	fs.StringVar(&rw.retrySpare, "retry-spare", "", "additional retries of a service that all daemons together may send within a few seconds; 50 unless set")
	fs.StringVar(&rw.quotaSpare, "quota-spare", "", "requests beyond its limit that all daemons together may admit of a tenant in each window; 0 unless set")
	fs.StringVar(&rw.quotaOverage, "quota-overage", "", "share of its limit that all daemons together may admit of a tenant in addition in each window; 0 unless set")
	fs.StringVar(&rw.quotaWindow, "quota-window", "", "length of the windows over which the admitted requests of a tenant are counted; 0 unless set")
	fs.StringVar(&rw.firstStart, "first-start", "false", "true while the whole mesh starts for the first time, so that nothing has to be read from the platform; false at every later start")
	fs.String("config", "", "YAML file with any of these settings")
}

// Reader reads settings and records the position of each.
type Reader struct {
	raw       rawSettings
	fs        *flag.FlagSet
	positions map[string]strict.Pos
	prs       strict.Problems
	// unreadable is set if the file could not be parsed at all.
	unreadable bool
	// modified is the modification time of the file before it was read.
	modified time.Time
}

// New registers the settings as flags of fs.
func New(fs *flag.FlagSet) *Reader {
	rd := &Reader{fs: fs, positions: map[string]strict.Pos{}}
	rd.raw.addFlags(fs)
	return rd
}

// Options returns the ff options that read settings from flags, then the environment, then the file
// named by --config.
func (rd *Reader) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(rd.parse),
	}
}

// File returns the path of the settings file after the flags were parsed; empty if there is none.
func (rd *Reader) File() string { return rd.fs.Lookup("config").Value.String() }

// ModTime returns the modification time that the settings file had before it was read; the zero
// time if none was read.
func (rd *Reader) ModTime() time.Time { return rd.modified }

// Settings returns the settings after the flags were parsed. The error is a strict.Problems that
// lists all errors found.
func (rd *Reader) Settings() (Settings, error) {
	if rd.fs.NArg() > 0 {
		rd.prs.Add(strict.Pos{File: "command line"}, fmt.Sprintf("unexpected argument %q", rd.fs.Arg(0)), "settings are given as --name value")
	}
	if rd.unreadable {
		return Settings{}, rd.prs.Err()
	}
	se := rd.validate(&rd.raw)
	return se, rd.prs.Err()
}

// namedReader and statReader are implemented by the files that ff opens.
type (
	namedReader interface{ Name() string }
	statReader  interface{ Stat() (fs.FileInfo, error) }
)

// parse implements ff.ConfigFileParser.
func (rd *Reader) parse(r io.Reader, set func(name, value string) error) error {
	file := "settings"
	if nr, ok := r.(namedReader); ok {
		file = nr.Name()
	}
	if sr, ok := r.(statReader); ok {
		fi, err := sr.Stat()
		if err != nil {
			return err
		}
		rd.modified = fi.ModTime()
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if prs := strict.Decode(file, data, &struct{}{}); len(prs) > 0 && strings.HasPrefix(prs[0].Message, "not YAML") {
		rd.prs, rd.unreadable = append(rd.prs, prs[0]), true
		return nil
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil || len(root.Content) == 0 {
		return err
	}
	return rd.readPairs(file, root.Content[0], set)
}

func (rd *Reader) readPairs(file string, n *yaml.Node, set func(name, value string) error) error {
	pos := func(n *yaml.Node) strict.Pos { return strict.Pos{File: file, Line: n.Line, Column: n.Column} }
	isSet := map[string]bool{}
	rd.fs.Visit(func(fl *flag.Flag) { isSet[fl.Name] = true })
	if n.Kind != yaml.MappingNode {
		rd.unreadable = true
		rd.prs.Add(pos(n), "the settings must be a mapping", "write each as \"name: value\"")
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		first, repeated := rd.positions[k.Value]
		switch {
		case rd.fs.Lookup(k.Value) == nil || k.Value == "config":
			rd.prs.Add(pos(k), fmt.Sprintf("unknown setting %q", k.Value), strict.Suggest(k.Value, rd.settingNames()))
		case repeated:
			rd.prs.Add(pos(k), fmt.Sprintf("setting %q is already on line %d", k.Value, first.Line), "remove one of the two")
		default:
			rd.positions[k.Value] = pos(v)
			if isSet[k.Value] {
				// Flags and the environment take precedence over the file.
				rd.positions[k.Value] = strict.Pos{}
			}
			text, ok := nodeText(v)
			if !ok {
				rd.prs.Add(pos(v), fmt.Sprintf("setting %q must be a value or a list of values", k.Value), "")
				continue
			}
			if err := set(k.Value, text); err != nil {
				return err
			}
		}
	}
	return nil
}

func nodeText(v *yaml.Node) (string, bool) {
	switch v.Kind {
	case yaml.ScalarNode:
		return v.Value, true
	case yaml.SequenceNode:
		var list []string
		for _, c := range v.Content {
			list = append(list, c.Value)
		}
		return strings.Join(list, ","), true
	}
	return "", false
}

func (rd *Reader) settingNames() []string {
	var list []string
	rd.fs.VisitAll(func(fl *flag.Flag) {
		if fl.Name != "config" {
			list = append(list, fl.Name)
		}
	})
	return list
}

// position returns where a setting was given.
func (rd *Reader) position(name string) strict.Pos {
	env := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	given := false
	rd.fs.Visit(func(fl *flag.Flag) { given = given || fl.Name == name })
	switch {
	case rd.positions[name].File != "":
		return rd.positions[name]
	case os.Getenv(env) != "":
		return strict.Pos{File: "environment " + env}
	case given:
		return strict.Pos{File: "flag --" + name}
	}
	return strict.Pos{File: "settings"}
}

func (rd *Reader) addProblem(name, what, remedy string) { rd.prs.Add(rd.position(name), what, remedy) }

var nameRegexp = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// adaptedNameRegexp is the form of names that another platform assigns. They are not those of an
// inventory, so only characters are excluded that separate names in settings and in keys of the store,
// and lengths with which such keys would be too long.
var adaptedNameRegexp = regexp.MustCompile(`^[^\pC\s=,/]([^\pC=,/]{0,93}[^\pC\s=,/])?$`)

func (rd *Reader) validate(rw *rawSettings) Settings {
	se := Settings{
		VM: rd.name("vm", rw.vm), Domain: rd.name("failure-domain", rw.domain),
		Outlet: rd.addr("outlet", rw.outlet), Inlet: rd.addr("inlet", rw.inlet),
		Control: rd.addr("control", rw.control), Admin: rd.addr("admin", rw.admin),
		Platform: rd.addr("platform", rw.platform), Token: rw.token,
	}
	for _, it := range []struct {
		name, value string
		dst         *string
	}{{"ready", rw.ready, &se.Ready}, {"announce", rw.announce, &se.Announce}, {"server", rw.server, &se.Server}} {
		if it.value != "" {
			*it.dst = rd.addr(it.name, it.value)
		}
	}
	if rw.serverSource != "" {
		ip, err := netip.ParseAddr(rw.serverSource)
		if err != nil {
			rd.addProblem("server-source", fmt.Sprintf("server-source is %q", rw.serverSource), "set it to an IP address")
		}
		se.ServerSource = ip.String()
	}
	se.Adapter = rd.optionalName("adapter", rw.adapter)
	se.Service = rd.optionalName("service", rw.service)
	se.Domains = rd.domains(rw.domains)
	rd.checkDistinct(&se)
	for _, sd := range strings.Split(rw.seeds, ",") {
		if sd = strings.TrimSpace(sd); sd != "" {
			se.Seeds = append(se.Seeds, rd.addr("seeds", sd))
		}
	}
	if err := se.LogLevel.UnmarshalText([]byte(rw.logLevel)); err != nil {
		rd.addProblem("log-level", fmt.Sprintf("log-level is %q", rw.logLevel), "set it to debug, info, warn or error")
	}
	sample, err := strconv.ParseFloat(rw.logSample, 64)
	if err != nil || !(sample >= 0 && sample <= 1) {
		rd.addProblem("access-log-sample", fmt.Sprintf("access-log-sample is %q", rw.logSample), "set it to a number from 0 to 1")
	}
	se.LogSample = sample
	mb, err := strconv.ParseInt(rw.memoryMB, 10, 32)
	if err != nil || mb < minMemoryMB {
		rd.addProblem("memory-mb", fmt.Sprintf("memory-mb is %q", rw.memoryMB), fmt.Sprintf("set it to a whole number of megabytes, %d or more", minMemoryMB))
	}
	se.MemoryLimit = mb << 20
	mbps, err := strconv.ParseFloat(rw.linkMbps, 64)
	if err != nil || !(mbps >= 0 && mbps <= maxLinkMbps) {
		rd.addProblem("link-mbps", fmt.Sprintf("link-mbps is %q", rw.linkMbps), fmt.Sprintf("set it to a number from 0 to %d", maxLinkMbps))
	}
	se.LinkRate = mbps * 1e6
	se.FirstStart, err = strconv.ParseBool(rw.firstStart)
	if err != nil {
		rd.addProblem("first-start", fmt.Sprintf("first-start is %q", rw.firstStart), "set it to true or false")
	}
	se.RetryBound.Ratio = rd.number("retry-ratio", rw.retryRatio, retry.Default.Ratio, 1)
	se.RetryBound.Spare = rd.number("retry-spare", rw.retrySpare, retry.Default.Spare, maxRetrySpare)
	se.QuotaTolerance = rd.tolerance(rw)
	se.DrainTimeout, err = time.ParseDuration(rw.drainTimeout)
	if err != nil || se.DrainTimeout < 0 {
		rd.addProblem("drain-timeout", fmt.Sprintf("drain-timeout is %q", rw.drainTimeout), "set it to a duration such as 30s")
	}
	return se
}

// maxRetrySpare is the highest accepted retry-spare: retries allowed beyond the ratio.
const maxRetrySpare = 1_000_000

// maxQuotaSpare is the highest accepted quota-spare.
const maxQuotaSpare = 1_000_000

// maxQuotaOverage and maxQuotaWindow are the highest accepted quota-overage and quota-window.
const (
	maxQuotaOverage = 1
	maxQuotaWindow  = time.Minute
)

// tolerance reads by how much limits of tenants may be exceeded.
func (rd *Reader) tolerance(rw *rawSettings) (to admit.Tolerance) {
	to.Spare = rd.number("quota-spare", rw.quotaSpare, 0, maxQuotaSpare)
	to.Overage = rd.number("quota-overage", rw.quotaOverage, 0, maxQuotaOverage)
	if rw.quotaWindow == "" {
		return to
	}
	window, err := time.ParseDuration(rw.quotaWindow)
	if err != nil || window < 0 || window > maxQuotaWindow {
		rd.addProblem("quota-window", fmt.Sprintf("quota-window is %q", rw.quotaWindow), fmt.Sprintf("set it to a duration up to %s, such as 5s", maxQuotaWindow))
		return to
	}
	to.Window = window
	return to
}

// number parses a number from 0 to limit, or returns def if value is empty.
func (rd *Reader) number(setting, value string, def, limit float64) float64 {
	if value == "" {
		return def
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= limit) {
		rd.addProblem(setting, fmt.Sprintf("%s is %q", setting, value), fmt.Sprintf("set it to a number from 0 to %.0f", limit))
	}
	return n
}

// maxLinkMbps is the highest accepted link rate in Mbit/s.
const maxLinkMbps = 1_000_000

// minMemoryMB is the lowest accepted memory limit in megabytes: the memory of an idle daemon and
// some room for requests.
const minMemoryMB = 24

func (rd *Reader) name(setting, value string) string {
	switch {
	case value == "":
		rd.addProblem(setting, setting+" is not set", "set it to the name that the inventory has")
	case !rd.isName(value):
		rd.addProblem(setting, fmt.Sprintf("%s is %q", setting, value), "set it to the name that the inventory has: 1 to 63 of a-z, 0-9, \"-\" and \".\"")
	}
	return value
}

// isName reports whether a value has the form of a name of the inventory or, with an adapter, of one
// that another platform assigns.
func (rd *Reader) isName(value string) bool {
	if rd.raw.adapter != "" {
		return adaptedNameRegexp.MatchString(value)
	}
	return nameRegexp.MatchString(value)
}

func (rd *Reader) optionalName(setting, value string) string {
	if value != "" && !rd.isName(value) {
		rd.addProblem(setting, fmt.Sprintf("%s is %q", setting, value), "set it to 1 to 63 of a-z, 0-9, \"-\" and \".\", or leave it out")
	}
	return value
}

// domains parses failure domains and their regions.
func (rd *Reader) domains(text string) map[string]string {
	if text == "" {
		return nil
	}
	domains := map[string]string{}
	for _, item := range strings.Split(text, ",") {
		name, region, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !rd.isName(name) || !rd.isName(region) && (region != "" || rd.raw.adapter == "") {
			rd.addProblem("failure-domains", fmt.Sprintf("failure-domains has %q", item), "write each as NAME=REGION, separated by commas")
		}
		domains[name] = region
	}
	return domains
}

// addr checks that value is an IP address and a port. Host names are rejected: they would make
// daemons depend on a resolver, which may be down when it is needed.
func (rd *Reader) addr(setting, value string) string {
	if value == "" {
		rd.addProblem(setting, setting+" is not set", "set it to an address such as 10.0.0.1:7000")
		return value
	}
	host, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		rd.addProblem(setting, fmt.Sprintf("%s is %q", setting, value), "set it to an IP address and port such as 10.0.0.1:7000")
	}
	return value
}

// checkDistinct checks that no two listen addresses are the same.
func (rd *Reader) checkDistinct(se *Settings) {
	seen := map[string]string{}
	for _, it := range []struct{ name, addr string }{
		{"outlet", se.Outlet}, {"inlet", se.Inlet}, {"control", se.Control}, {"admin", se.Admin},
		{"ready", se.Ready}, {"announce", se.Announce},
	} {
		if it.addr == "" || strings.HasSuffix(it.addr, ":0") {
			continue
		}
		if other, ok := seen[it.addr]; ok {
			rd.addProblem(it.name, fmt.Sprintf("%s and %s have the same address %s", other, it.name, it.addr), "give each its own port")
		}
		seen[it.addr] = it.name
	}
}
