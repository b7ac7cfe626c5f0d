package decl

import (
	"strings"
	"testing"
)

// TestKeysAreHashed: declarations with API keys, printed or in problems, must not show a key.
func TestKeysAreHashed(t *testing.T) {
	const key = "SECRET-0123456789"
	text := validBase + "tenants: [{name: a, keys: [" + key + "], rate: 2.5, burst: 5, priority: 0}]\n"
	ms, prs := Parse(map[string][]byte{"m.yaml": []byte(text)})
	if len(prs) > 0 {
		t.Fatal(prs)
	}
	if ms.Tenants[0].Keys[0] != HashKey(key) {
		t.Errorf("digest %s", ms.Tenants[0].Keys[0])
	}
	printed, err := Print(ms)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(printed), "SECRET") || !strings.Contains(string(printed), HashKey(key).String()) {
		t.Errorf("printed %s", printed)
	}
	again, prs := Parse(map[string][]byte{"m.yaml": printed})
	if len(prs) > 0 {
		t.Fatal(prs)
	}
	if tn := again.Tenants[0]; tn.Keys[0] != HashKey(key) || tn.Rate != 2.5 || tn.Burst != 5 || tn.Priority == nil || *tn.Priority != 0 {
		t.Errorf("read again: %+v", tn)
	}
}

// FuzzSecretsHidden guards against problems that show an API key, whatever is wrong with the
// declaration of the tenant.
func FuzzSecretsHidden(f *testing.F) {
	for _, text := range []string{
		"- {name: a, keys: [SECRET]}", "- SECRET", "SECRET", "- {name: a, keys: SECRET}", "- {name: a, keys: [[SECRET]]}",
		"- {name: a, keys: [&x SECRET, *x]}", "- {name: a, keys: {SECRET: 1}}", "- name: a\n  keys:\n- SECRET", "- {name: a, keys: ['sha256:SECRET']}",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Count(text, "SECRET") > strings.Count(text, "SECRET]")+strings.Count(text, "- SECRET") {
			return
		}
		_, prs := Parse(map[string][]byte{"m.yaml": []byte("tenants:\n" + text)})
		for _, pr := range prs {
			// A key of a mapping is a misspelled name of a field and shown as such.
			if strings.Contains(pr.Error(), "SECRET") && !strings.Contains(pr.Error(), "unknown key") {
				t.Errorf("%s", pr)
			}
		}
	})
}
