package setup

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/peterbourgon/ff/v3"
)

// required holds a value for each required setting.
var required = map[string]string{
	"vm": "centro-1", "failure-domain": "sala-centro", "inlet": "127.0.0.1:7001", "control": "127.0.0.1:7002", "platform": "127.0.0.1:7070",
}

// readText writes text to a settings file and reads it with args.
func readText(t *testing.T, text string, args ...string) (Settings, []string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	fs := flag.NewFlagSet("daemon", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	rd := New(fs)
	if err := ff.Parse(fs, append([]string{"--config", file}, args...), rd.Options()...); err != nil {
		t.Fatal(err)
	}
	se, err := rd.Settings()
	if err == nil {
		return se, nil
	}
	return se, strings.Split(strings.ReplaceAll(err.Error(), file, "daemon.yaml"), "\n")
}

// settings returns a file with all required settings but omit, followed by extra.
func settings(omit, extra string) string {
	var b strings.Builder
	for _, name := range []string{"vm", "failure-domain", "inlet", "control", "platform"} {
		if name != omit {
			b.WriteString(name + ": " + required[name] + "\n")
		}
	}
	return b.String() + extra
}

// TestMissing leaves out each required setting in turn.
func TestMissing(t *testing.T) {
	for name := range required {
		_, got := readText(t, settings(name, ""))
		remedy := "set it to an address such as 10.0.0.1:7000"
		if name == "vm" || name == "failure-domain" {
			remedy = "set it to the name that the inventory has"
		}
		if diff := cmp.Diff([]string{"settings: " + name + " is not set; " + remedy}, got); diff != "" {
			t.Errorf("without %s (-want +got):\n%s", name, diff)
		}
	}
}

func TestBadSettings(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		args, want []string
	}{
		{"valid", settings("", ""), nil, nil},
		{"unknown", settings("", "seed: 127.0.0.1:1\n"), nil, []string{`daemon.yaml:6:1: unknown setting "seed"; did you mean "seeds"?`}},
		{"twice", settings("", "vm: b\n"), nil, []string{`daemon.yaml:6:1: setting "vm" is already on line 1; remove one of the two`}},
		{"not a mapping", "- a", nil, []string{
			`daemon.yaml:1:1: the settings must be a mapping; write each as "name: value"`,
		}},
		{"not YAML", settings("", "seeds: [\n"), nil, []string{
			`daemon.yaml:6: not YAML: did not find expected node content; fix the syntax on that line`,
		}},
		{"host name", settings("inlet", "inlet: localhost:7001\n"), nil, []string{
			`daemon.yaml:5:8: inlet is "localhost:7001"; set it to an IP address and port such as 10.0.0.1:7000`,
		}},
		{"several errors", settings("control", "control: 127.0.0.1\nseeds: [127.0.0.1:1, x]\nlog-level: loud\naccess-log-sample: 2\ndrain-timeout: soon\n"), nil, []string{
			`daemon.yaml:5:10: control is "127.0.0.1"; set it to an IP address and port such as 10.0.0.1:7000`,
			`daemon.yaml:6:8: seeds is "x"; set it to an IP address and port such as 10.0.0.1:7000`,
			`daemon.yaml:7:12: log-level is "loud"; set it to debug, info, warn or error`,
			`daemon.yaml:8:20: access-log-sample is "2"; set it to a number from 0 to 1`,
			`daemon.yaml:9:16: drain-timeout is "soon"; set it to a duration such as 30s`,
		}},
		{"same address", settings("control", "control: 127.0.0.1:7001\n"), nil, []string{
			`daemon.yaml:5:10: inlet and control have the same address 127.0.0.1:7001; give each its own port`,
		}},
		{"flag before file", settings("", ""), []string{"--vm", "Centro"}, []string{
			`flag --vm: vm is "Centro"; set it to the name that the inventory has: 1 to 63 of a-z, 0-9, "-" and "."`,
		}},
		{"argument", settings("", ""), []string{"x"}, []string{`command line: unexpected argument "x"; settings are given as --name value`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, got := readText(t, tc.text, tc.args...)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdaptedNames guards against a daemon that does not start since the platform of an adapter assigns
// names that an inventory could not have.
func TestAdaptedNames(t *testing.T) {
	text := "vm: Side_1\nfailure-domain: Sala Norte\nfailure-domains: [Sala Norte=Vale_Sul, b=]\nservice: Agenda_Mento\n" +
		"inlet: 127.0.0.1:7001\ncontrol: 127.0.0.1:7002\nplatform: 127.0.0.1:7070\n"
	se, prs := readText(t, text+"adapter: municipal\n")
	if prs != nil || se.VM != "Side_1" || se.Domain != "Sala Norte" || se.Service != "Agenda_Mento" || se.Domains["Sala Norte"] != "Vale_Sul" || len(se.Domains) != 2 {
		t.Errorf("with an adapter: %+v, %q", se, prs)
	}
	if _, prs = readText(t, text); len(prs) != 5 {
		t.Errorf("with an inventory: %q, want a problem for each of the 5 names", prs)
	}
	if _, prs = readText(t, strings.Replace(text, "vm: Side_1", "vm: a/b", 1)+"adapter: municipal\n"); len(prs) != 1 {
		t.Errorf("with a slash: %q, want one problem", prs)
	}
}

// TestPrecedence checks that flags take precedence over the environment, and the environment over
// the file.
func TestPrecedence(t *testing.T) {
	t.Setenv("FLAMINGOMAST_FAILURE_DOMAIN", "from-environment")
	t.Setenv("FLAMINGOMAST_VM", "from-environment")
	se, prs := readText(t, settings("", ""), "--vm", "from-flag")
	if prs != nil || se.VM != "from-flag" || se.Domain != "from-environment" || se.Inlet != required["inlet"] {
		t.Errorf("settings %s, problems %v", se, prs)
	}
}

// TestTokenNotPrinted checks that no printed form of the settings contains the mesh token.
func TestTokenNotPrinted(t *testing.T) {
	se, _ := readText(t, settings("", "mesh-token: hush\n"))
	if se.Token != "hush" {
		t.Fatalf("token %q", se.Token)
	}
	if s := se.String() + se.LogValue().String(); strings.Contains(s, "hush") {
		t.Errorf("printed as %s", s)
	}
}

// TestModTime guards against a change of the settings file that is never noticed because it was made
// after the file had been read and before its modification time was.
func TestModTime(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := os.WriteFile(file, []byte(settings("", "")), 0o600); err != nil {
		t.Fatal(err)
	}
	before := time.Now().Add(-time.Hour).Truncate(time.Second)
	if err := os.Chtimes(file, before, before); err != nil {
		t.Fatal(err)
	}
	fs := flag.NewFlagSet("daemon", flag.ContinueOnError)
	rd := New(fs)
	if err := ff.Parse(fs, []string{"--config", file}, rd.Options()...); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, time.Now(), time.Now()); err != nil {
		t.Fatal(err)
	}
	if got := rd.ModTime(); !got.Equal(before) || rd.File() != file {
		t.Errorf("%s was modified at %v, want %s at %v", rd.File(), got, file, before)
	}
}
