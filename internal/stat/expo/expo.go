package expo

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// prefix begins the name of each metric.
const prefix = "flamingomast_"

// Write writes the numbers of vars, a line each. Its own numbers become metrics;
// a map in it holds series by name, which become a label, with the numbers of
// each in turn or maps of them, whose keys become another label.
func Write(w io.Writer, vars *expvar.Map) error {
	var top map[string]any
	if err := json.Unmarshal([]byte(vars.String()), &top); err != nil {
		return fmt.Errorf("expo: the metrics cannot be read: %w", err)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(top)) {
		switch v := top[name].(type) {
		case map[string]any:
			for _, series := range slices.Sorted(maps.Keys(v)) {
				writeSeries(&b, name, series, v[series])
			}
		default:
			line(&b, name, "", v)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeSeries(b *strings.Builder, name, series string, v any) {
	label := `series="` + escape(series) + `"`
	parts, ok := v.(map[string]any)
	if !ok {
		line(b, name, label, v)
		return
	}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		leaf, ok := parts[part].(map[string]any)
		if !ok {
			line(b, name+"_"+part, label, parts[part])
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(leaf)) {
			line(b, name+"_"+part, label+`,key="`+escape(key)+`"`, leaf[key])
		}
	}
}

// line writes one number; what is none is left out.
func line(b *strings.Builder, name, labels string, v any) {
	text := ""
	switch v := v.(type) {
	case float64:
		text = strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		text = "0"
		if v {
			text = "1"
		}
	default:
		return
	}
	b.WriteString(prefix + strings.Map(wordRune, name))
	if labels != "" {
		b.WriteString("{" + labels + "}")
	}
	b.WriteString(" " + text + "\n")
}

func wordRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
		return r
	}
	return '_'
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(s string) string { return escaper.Replace(s) }
