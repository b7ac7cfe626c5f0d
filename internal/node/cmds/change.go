package cmds

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
)

// change is the change to one resource in a plan.
type change struct {
	Change   string  `json:"change"`
	Resource string  `json:"resource"`
	Fields   []field `json:"fields,omitempty"`
}

// field is a changed field of a resource. Old or New is empty if the field is not set on that side.
type field struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// changes returns the changes from old to next. A nil old is an empty content.
func changes(old, next *pack.Content) []change {
	var list []change
	dt := pack.Diff(old, next)
	for _, rs := range dt.Set {
		ch := change{Change: "add", Resource: rs.Key.String()}
		if old != nil {
			if oldBody := old.Get(rs.Key); oldBody != nil {
				ch.Change, ch.Fields = "change", diffFields(oldBody, rs.Body)
			}
		}
		list = append(list, ch)
	}
	for _, ky := range dt.Removed {
		list = append(list, change{Change: "remove", Resource: ky.String()})
	}
	return list
}

// diffFields compares two JSON encodings of a resource field by field. Bodies come from validated
// contents; one that is not a JSON object yields no fields.
func diffFields(old, next []byte) []field {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(next, &b) != nil {
		return nil
	}
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var list []field
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(a[name], b[name]) {
			list = append(list, field{Name: name, Old: string(a[name]), New: string(b[name])})
		}
	}
	return list
}
