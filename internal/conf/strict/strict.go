package strict

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decode decodes the YAML document in data into the struct that dst points to.
//
// Keys are matched with the json tags of the fields. A field of type Pos receives the position of
// its struct. Unknown and duplicate keys, values of the wrong type, anchors and further documents
// are problems. All problems are returned, and dst holds what could be decoded.
func Decode(file string, data []byte, dst any) Problems {
	de := &decoder{file: file}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil
		}
		de.prs.Add(syntaxPos(file, err), "not YAML: "+syntaxMessage(err), "fix the syntax on that line")
		return de.prs
	}
	de.decodeValue(doc.Content[0], reflect.ValueOf(dst).Elem(), "the file")
	var extra yaml.Node
	if err := dec.Decode(&extra); err == nil {
		de.prs.Add(de.pos(&extra), "a second document", "keep one document in a file")
	}
	return de.prs
}

var lineInError = regexp.MustCompile(`line (\d+): `)

func syntaxPos(file string, err error) Pos {
	if m := lineInError.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Pos{File: file, Line: line}
	}
	return Pos{File: file, Line: 1}
}

func syntaxMessage(err error) string {
	txt := strings.TrimPrefix(err.Error(), "yaml: ")
	return lineInError.ReplaceAllString(txt, "")
}

// Secret is implemented by types whose text must not appear in problems.
type Secret interface{ IsSecret() }

var secretType = reflect.TypeFor[Secret]()

// holdsSecret reports whether values of type t contain a Secret.
func holdsSecret(t reflect.Type) bool {
	if t.Implements(secretType) {
		return true
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer, reflect.Map:
		return holdsSecret(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			if holdsSecret(t.Field(i).Type) {
				return true
			}
		}
	}
	return false
}

type decoder struct {
	file string
	prs  Problems
	// hide is set while a value is decoded that holds a Secret: a misplaced secret must not be shown
	// as the value that was found.
	hide bool
}

func (de *decoder) pos(n *yaml.Node) Pos {
	return Pos{File: de.file, Line: n.Line, Column: n.Column}
}

func (de *decoder) typeError(n *yaml.Node, subject, kind, remedy string) {
	de.prs.Add(de.pos(n), fmt.Sprintf("%s must be %s, not %s", subject, kind, de.describe(n)), remedy)
}

func (de *decoder) describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if n.Tag == "!!null" {
		return "empty"
	}
	if de.hide {
		return "a single value"
	}
	return strconv.Quote(n.Value)
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (de *decoder) decodeValue(n *yaml.Node, v reflect.Value, subject string) {
	de.hide = holdsSecret(v.Type())
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		de.typeError(n, subject, "written out", "anchors and aliases are not read")
		return
	}
	if v.CanAddr() && v.Addr().Type().Implements(textUnmarshalerType) {
		de.decodeText(n, v, subject)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		de.decodeStruct(n, v, subject)
	case reflect.Slice:
		de.decodeList(n, v, subject)
	case reflect.Map:
		de.decodeMap(n, v, subject)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		de.decodeValue(n, v.Elem(), subject)
	default:
		de.decodeScalar(n, v, subject)
	}
}

func (de *decoder) decodeText(n *yaml.Node, v reflect.Value, subject string) {
	if n.Kind != yaml.ScalarNode {
		de.typeError(n, subject, "a single value", "")
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Value)); err != nil {
		de.prs.Add(de.pos(n), fmt.Sprintf("%s: %v", subject, err), "")
	}
}

func (de *decoder) decodeScalar(n *yaml.Node, v reflect.Value, subject string) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		de.typeError(n, subject, kindName(v.Kind()), "")
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Value)
	case reflect.Bool:
		b, err := strconv.ParseBool(n.Value)
		if err != nil {
			de.typeError(n, subject, "true or false", "")
			return
		}
		v.SetBool(b)
	case reflect.Int:
		i, err := strconv.ParseInt(n.Value, 10, 32)
		if err != nil {
			de.typeError(n, subject, "a whole number", "")
			return
		}
		v.SetInt(i)
	case reflect.Float64:
		f, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			de.typeError(n, subject, "a number", "")
			return
		}
		v.SetFloat(f)
	default:
		panic("strict: unsupported type " + v.Type().String())
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "a string"
}

func (de *decoder) decodeList(n *yaml.Node, v reflect.Value, subject string) {
	if n.Kind != yaml.SequenceNode {
		de.typeError(n, subject, "a list", "start each entry with \"- \"")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		de.decodeValue(c, v.Index(i), "an entry of "+subject)
	}
}

func (de *decoder) decodeMap(n *yaml.Node, v reflect.Value, subject string) {
	if n.Kind != yaml.MappingNode {
		de.typeError(n, subject, "a mapping", "")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	de.eachPair(n, func(key string, _, val *yaml.Node) {
		elem := reflect.New(v.Type().Elem()).Elem()
		de.decodeValue(val, elem, key)
		v.SetMapIndex(reflect.ValueOf(key), elem)
	})
}

func (de *decoder) decodeStruct(n *yaml.Node, v reflect.Value, subject string) {
	if n.Kind != yaml.MappingNode {
		de.typeError(n, subject, "a mapping", "write it as \"key: value\"")
		return
	}
	known := map[string]reflect.Value{}
	var names []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Type == reflect.TypeFor[Pos]() {
			v.Field(i).Set(reflect.ValueOf(de.pos(n)))
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		known[name] = v.Field(i)
		names = append(names, name)
	}
	de.eachPair(n, func(key string, k, val *yaml.Node) {
		fv, ok := known[key]
		if !ok {
			de.prs.Add(de.pos(k), fmt.Sprintf("unknown key %q", key), Suggest(key, names))
			return
		}
		de.decodeValue(val, fv, key)
	})
}

// eachPair calls fn for each key of the mapping n and reports duplicate keys.
func (de *decoder) eachPair(n *yaml.Node, fn func(key string, k, val *yaml.Node)) {
	lines := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, val := n.Content[i], n.Content[i+1]
		if first, ok := lines[k.Value]; ok {
			de.prs.Add(de.pos(k), fmt.Sprintf("key %q is already on line %d", k.Value, first), "remove one of the two")
			continue
		}
		lines[k.Value] = k.Line
		fn(k.Value, k, val)
	}
}

// Suggest returns a remedy for an unknown name: the most similar known name, or else a list of the
// known names.
func Suggest(name string, known []string) string {
	best, dist := "", 3
	for _, k := range known {
		if d := editDistance(name, k); d < dist {
			best, dist = k, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	sorted := slices.Sorted(slices.Values(known))
	const maxShown = 12
	if len(sorted) > maxShown {
		sorted = append(sorted[:maxShown], "…")
	}
	if len(sorted) == 0 {
		return "none is declared"
	}
	return "known are " + strings.Join(sorted, ", ")
}

// editDistance returns the Levenshtein distance of two short names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diag := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diag
			if a[i-1] != b[j-1] {
				cost++
			}
			diag = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
