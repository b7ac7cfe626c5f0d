package setup

import (
	"flag"
	"fmt"
	"io"
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
)

// EnvPrefix begins the names of the environment variables: the setting
// failure-domain is FLAMINGOMAST_FAILURE_DOMAIN.
const EnvPrefix = "FLAMINGOMAST"

// Settings is what a daemon is told at its start.
type Settings struct {
	VM, Domain string
	// Outlet, Inlet, Control and Admin are the addresses (host:port) to listen
	// on; Inlet and Control are also those that other VMs connect to.
	Outlet, Inlet, Control, Admin string
	// Ready and Announce are addresses to listen on, beside Admin, for questions
	// whether the daemon is ready and for the backend server's announcements;
	// empty for none.
	Ready, Announce string
	// Adapter names the platform that the daemon is joined to; empty for the
	// project's own interface.
	Adapter string
	// Platform is the address of the key-value service.
	Platform string
	// Service is the service that runs on this VM, where it is known
	// beforehand.
	Service string
	// Server is the address of the backend server on this VM, where it is known
	// beforehand. A daemon that starts asks it whether it serves.
	Server string
	// Domains are all failure domains with their regions, for platforms whose
	// configurations do not declare them.
	Domains map[string]string
	// Seeds are control addresses of other daemons.
	Seeds []string
	// Token is the secret that all daemons share.
	Token        string
	LogLevel     slog.Level
	LogSample    float64
	DrainTimeout time.Duration
	// MemoryLimit is how many bytes the process may take in all.
	MemoryLimit int64
	// LinkRate is the rate of the VM's link in bits a second, 0 where it is not known.
	LinkRate float64
	// FirstStart says that the whole mesh starts for the first time, so that no former
	// process has acknowledged anything.
	FirstStart bool
	// RetryBound bounds the repeats of all daemons together, for each service.
	RetryBound retry.Bound
}

// String returns the settings without secrets.
func (se Settings) String() string {
	token := "unset"
	if se.Token != "" {
		token = "set"
	}
	return fmt.Sprintf("vm=%s failure-domain=%s outlet=%s inlet=%s control=%s admin=%s platform=%s seeds=%s mesh-token=%s",
		se.VM, se.Domain, se.Outlet, se.Inlet, se.Control, se.Admin, se.Platform, strings.Join(se.Seeds, ","), token)
}

// LogValue returns the settings without secrets.
func (se Settings) LogValue() slog.Value { return slog.StringValue(se.String()) }

// raw holds the settings as given.
type raw struct {
	vm, domain, outlet, inlet, control, admin string
	platform, seeds, token, level             string
	ready, announce, adapter                  string
	service, server, domains                  string
	sample                                    string
	drain                                     string
	memory, link                              string
	ratio, spare                              string
	first                                     string
}

// flags declares the settings; the text of each is the help a person sees.
func (rw *raw) flags(fs *flag.FlagSet) {
	fs.StringVar(&rw.vm, "vm", "", "name of this VM in the inventory (required)")
	fs.StringVar(&rw.domain, "failure-domain", "", "failure domain that this VM is in (required)")
	fs.StringVar(&rw.outlet, "outlet", "127.0.0.1:8080", "address for callers, IP:PORT")
	fs.StringVar(&rw.inlet, "inlet", "", "address for the outlets of other VMs, IP:PORT (required)")
	fs.StringVar(&rw.control, "control", "", "address for the daemons of other VMs, IP:PORT (required)")
	fs.StringVar(&rw.admin, "admin", "127.0.0.1:8081", "address for announcements, health, metrics and operators, IP:PORT")
	fs.StringVar(&rw.platform, "platform", "", "address of the platform's key-value service, IP:PORT (required)")
	fs.StringVar(&rw.ready, "ready", "", "another address for questions whether the daemon is ready, IP:PORT")
	fs.StringVar(&rw.announce, "announce", "", "another address for announcements of the backend server, IP:PORT")
	fs.StringVar(&rw.adapter, "adapter", "", "platform that the daemon is joined to; empty for flamingomast's own interface")
	fs.StringVar(&rw.service, "service", "", "service that runs on this VM, told to the backend servers that it calls")
	fs.StringVar(&rw.server, "server", "", "address of the backend server on this VM, which is asked at the start whether it serves, IP:PORT")
	fs.StringVar(&rw.domains, "failure-domains", "", "all failure domains with their regions, where the platform does not declare them, NAME=REGION,…")
	fs.StringVar(&rw.seeds, "seeds", "", "control addresses of other daemons to try before the platform is asked, IP:PORT,…")
	fs.StringVar(&rw.token, "mesh-token", "", "secret that all daemons share; empty for none")
	fs.StringVar(&rw.level, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&rw.sample, "access-log-sample", "1", "share of answered requests that are logged, 0 to 1; their number is bounded in any case")
	fs.StringVar(&rw.drain, "drain-timeout", "30s", "how long a shutdown waits for running requests")
	fs.StringVar(&rw.memory, "memory-mb", "32", "how many megabytes the process may take in all")
	fs.StringVar(&rw.link, "link-mbps", "0", "rate of the VM's link in Mbit/s, by which large answers are paced; 0 for no pacing")
	fs.StringVar(&rw.ratio, "retry-ratio", "", "how many repeats there may be for each request of a service, over all daemons; 0.2 unless set, 0 for none")
	fs.StringVar(&rw.spare, "retry-spare", "", "how many more repeats of a service all daemons together may send in some seconds; 50 unless set")
	fs.StringVar(&rw.first, "first-start", "false", "true while the whole mesh starts for the first time, so that there is nothing to ask the platform for; false at every later start")
	fs.String("config", "", "YAML file with any of these settings")
}

// Reader reads settings and remembers where each stands.
type Reader struct {
	raw   raw
	fs    *flag.FlagSet
	lines map[string]strict.Pos
	prs   strict.Problems
	// unread is set when the file could not be read at all.
	unread bool
}

// New declares the settings as flags of fs.
func New(fs *flag.FlagSet) *Reader {
	rd := &Reader{fs: fs, lines: map[string]strict.Pos{}}
	rd.raw.flags(fs)
	return rd
}

// Options tells ff where settings come from: flags, then the environment, then
// the file that --config names.
func (rd *Reader) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(rd.parse),
	}
}

// Settings returns the settings once the flags were parsed. The error is a
// strict.Problems that lists all that is wrong.
func (rd *Reader) Settings() (Settings, error) {
	if rd.fs.NArg() > 0 {
		rd.prs.Add(strict.Pos{File: "command line"}, fmt.Sprintf("unexpected argument %q", rd.fs.Arg(0)), "settings are given as --name value")
	}
	if rd.unread {
		return Settings{}, rd.prs.Err()
	}
	se := rd.check(&rd.raw)
	return se, rd.prs.Err()
}

// namedReader is a file with a name, which ff opens.
type namedReader interface{ Name() string }

// parse is an ff.ConfigFileParser.
func (rd *Reader) parse(r io.Reader, set func(name, value string) error) error {
	file := "settings"
	if nr, ok := r.(namedReader); ok {
		file = nr.Name()
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if prs := strict.Decode(file, data, &struct{}{}); len(prs) > 0 && strings.HasPrefix(prs[0].Message, "not YAML") {
		rd.prs, rd.unread = append(rd.prs, prs[0]), true
		return nil
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil || len(root.Content) == 0 {
		return err
	}
	return rd.pairs(file, root.Content[0], set)
}

func (rd *Reader) pairs(file string, n *yaml.Node, set func(name, value string) error) error {
	pos := func(n *yaml.Node) strict.Pos { return strict.Pos{File: file, Line: n.Line, Column: n.Column} }
	given := map[string]bool{}
	rd.fs.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	if n.Kind != yaml.MappingNode {
		rd.unread = true
		rd.prs.Add(pos(n), "the settings must be a mapping", "write each as \"name: value\"")
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		first, repeated := rd.lines[k.Value]
		switch {
		case rd.fs.Lookup(k.Value) == nil || k.Value == "config":
			rd.prs.Add(pos(k), fmt.Sprintf("unknown setting %q", k.Value), strict.Suggest(k.Value, rd.names()))
		case repeated:
			rd.prs.Add(pos(k), fmt.Sprintf("setting %q is already on line %d", k.Value, first.Line), "remove one of the two")
		default:
			rd.lines[k.Value] = pos(v)
			if given[k.Value] {
				// A flag or the environment goes before the file.
				rd.lines[k.Value] = strict.Pos{}
			}
			text, ok := text(v)
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

func text(v *yaml.Node) (string, bool) {
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

func (rd *Reader) names() []string {
	var list []string
	rd.fs.VisitAll(func(fl *flag.Flag) {
		if fl.Name != "config" {
			list = append(list, fl.Name)
		}
	})
	return list
}

// where tells where a setting was given.
func (rd *Reader) where(name string) strict.Pos {
	env := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	given := false
	rd.fs.Visit(func(fl *flag.Flag) { given = given || fl.Name == name })
	switch {
	case rd.lines[name].File != "":
		return rd.lines[name]
	case os.Getenv(env) != "":
		return strict.Pos{File: "environment " + env}
	case given:
		return strict.Pos{File: "flag --" + name}
	}
	return strict.Pos{File: "settings"}
}

func (rd *Reader) add(name, what, remedy string) { rd.prs.Add(rd.where(name), what, remedy) }

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func (rd *Reader) check(rw *raw) Settings {
	se := Settings{
		VM: rd.name("vm", rw.vm), Domain: rd.name("failure-domain", rw.domain),
		Outlet: rd.addr("outlet", rw.outlet), Inlet: rd.addr("inlet", rw.inlet),
		Control: rd.addr("control", rw.control), Admin: rd.addr("admin", rw.admin),
		Platform: rd.addr("platform", rw.platform), Token: rw.token,
	}
	for _, it := range []struct {
		name, value string
		to          *string
	}{{"ready", rw.ready, &se.Ready}, {"announce", rw.announce, &se.Announce}, {"server", rw.server, &se.Server}} {
		if it.value != "" {
			*it.to = rd.addr(it.name, it.value)
		}
	}
	se.Adapter = rd.optionalName("adapter", rw.adapter)
	se.Service = rd.optionalName("service", rw.service)
	se.Domains = rd.domains(rw.domains)
	rd.distinct(&se)
	for _, sd := range strings.Split(rw.seeds, ",") {
		if sd = strings.TrimSpace(sd); sd != "" {
			se.Seeds = append(se.Seeds, rd.addr("seeds", sd))
		}
	}
	if err := se.LogLevel.UnmarshalText([]byte(rw.level)); err != nil {
		rd.add("log-level", fmt.Sprintf("log-level is %q", rw.level), "set it to debug, info, warn or error")
	}
	sample, err := strconv.ParseFloat(rw.sample, 64)
	if err != nil || !(sample >= 0 && sample <= 1) {
		rd.add("access-log-sample", fmt.Sprintf("access-log-sample is %q", rw.sample), "set it to a number from 0 to 1")
	}
	se.LogSample = sample
	mb, err := strconv.ParseInt(rw.memory, 10, 32)
	if err != nil || mb < minMemory {
		rd.add("memory-mb", fmt.Sprintf("memory-mb is %q", rw.memory), fmt.Sprintf("set it to a whole number of megabytes, %d or more", minMemory))
	}
	se.MemoryLimit = mb << 20
	mbps, err := strconv.ParseFloat(rw.link, 64)
	if err != nil || !(mbps >= 0 && mbps <= maxLink) {
		rd.add("link-mbps", fmt.Sprintf("link-mbps is %q", rw.link), fmt.Sprintf("set it to a number from 0 to %d", maxLink))
	}
	se.LinkRate = mbps * 1e6
	se.FirstStart, err = strconv.ParseBool(rw.first)
	if err != nil {
		rd.add("first-start", fmt.Sprintf("first-start is %q", rw.first), "set it to true or false")
	}
	se.RetryBound.Ratio = rd.number("retry-ratio", rw.ratio, retry.Default.Ratio, 1)
	se.RetryBound.Spare = rd.number("retry-spare", rw.spare, retry.Default.Spare, maxSpare)
	se.DrainTimeout, err = time.ParseDuration(rw.drain)
	if err != nil || se.DrainTimeout < 0 {
		rd.add("drain-timeout", fmt.Sprintf("drain-timeout is %q", rw.drain), "set it to a duration such as 30s")
	}
	return se
}

// maxSpare is the highest number of repeats beyond the ratio.
const maxSpare = 1_000_000

// number reads a number from 0 to most, or returns the default where none is set.
func (rd *Reader) number(setting, value string, unset, most float64) float64 {
	if value == "" {
		return unset
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= most) {
		rd.add(setting, fmt.Sprintf("%s is %q", setting, value), fmt.Sprintf("set it to a number from 0 to %.0f", most))
	}
	return n
}

// maxLink is the highest rate of a link, in Mbit/s.
const maxLink = 1_000_000

// minMemory is what a daemon takes at least, in megabytes: when idle, and some room for
// requests.
const minMemory = 24

func (rd *Reader) name(setting, value string) string {
	switch {
	case value == "":
		rd.add(setting, setting+" is not set", "set it to the name that the inventory has")
	case !nameForm.MatchString(value):
		rd.add(setting, fmt.Sprintf("%s is %q", setting, value), "set it to the name that the inventory has: 1 to 63 of a-z, 0-9, \"-\" and \".\"")
	}
	return value
}

func (rd *Reader) optionalName(setting, value string) string {
	if value != "" && !nameForm.MatchString(value) {
		rd.add(setting, fmt.Sprintf("%s is %q", setting, value), "set it to 1 to 63 of a-z, 0-9, \"-\" and \".\", or leave it out")
	}
	return value
}

// domains reads failure domains with their regions.
func (rd *Reader) domains(text string) map[string]string {
	if text == "" {
		return nil
	}
	domains := map[string]string{}
	for _, one := range strings.Split(text, ",") {
		name, region, _ := strings.Cut(strings.TrimSpace(one), "=")
		if !nameForm.MatchString(name) || !nameForm.MatchString(region) {
			rd.add("failure-domains", fmt.Sprintf("failure-domains has %q", one), "write each as NAME=REGION, separated by commas")
		}
		domains[name] = region
	}
	return domains
}

// addr checks an address. Daemons reach each other by IP number; a host name
// would bring in a resolver that may be out when it is needed.
func (rd *Reader) addr(setting, value string) string {
	if value == "" {
		rd.add(setting, setting+" is not set", "set it to an address as 10.0.0.1:7000")
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
		rd.add(setting, fmt.Sprintf("%s is %q", setting, value), "set it to an IP number and a port as 10.0.0.1:7000")
	}
	return value
}

func (rd *Reader) distinct(se *Settings) {
	seen := map[string]string{}
	for _, it := range []struct{ name, addr string }{
		{"outlet", se.Outlet}, {"inlet", se.Inlet}, {"control", se.Control}, {"admin", se.Admin},
		{"ready", se.Ready}, {"announce", se.Announce},
	} {
		if it.addr == "" || strings.HasSuffix(it.addr, ":0") {
			continue
		}
		if other, ok := seen[it.addr]; ok {
			rd.add(it.name, fmt.Sprintf("%s and %s have the same address %s", other, it.name, it.addr), "give each its own port")
		}
		seen[it.addr] = it.name
	}
}
