package decl

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"
)

// TestNameForms compares isName and isMethod with regular expressions of the documented forms.
func TestNameForms(t *testing.T) {
	name := regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	host := regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	verb := regexp.MustCompile(`^[A-Z]{1,20}$`)
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.OneOf(
			rapid.StringMatching(`[a-z0-9.-]{0,4}`), rapid.StringMatching(`[a-z0-9][a-z0-9.-]{58,64}`),
			rapid.StringMatching(`[a-z][a-z0-9.-]{248,254}`), rapid.StringMatching(`[A-Za]{0,22}`), rapid.String(),
		).Draw(t, "text")
		if isName(s, maxNameLen) != name.MatchString(s) || isName(s, maxHostLen) != host.MatchString(s) || isMethod(s) != verb.MatchString(s) {
			t.Fatalf("%q: name %t, host %t, method %t", s, isName(s, maxNameLen), isName(s, maxHostLen), isMethod(s))
		}
	})
}
