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

// prefix is prepended to the name of each metric.
const prefix = "flamingomast_"

// Write writes the numbers and booleans in vars, one sample per line. Top-level values become
// metrics without labels. The keys of a top-level map become the label series. If the values of
// that map are maps themselves, their keys become part of the metric name, and the keys of maps
// within those become the label key.
func Write(w io.Writer, vars *expvar.Map) error {
	var top map[string]any
	if err := json.Unmarshal([]byte(vars.String()), &top); err != nil {
		return fmt.Errorf("expo: cannot decode the expvar metrics: %w", err)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(top)) {
		switch v := top[name].(type) {
		case map[string]any:
			for _, series := range slices.Sorted(maps.Keys(v)) {
				writeSeries(&b, name, series, v[series])
			}
		default:
			writeSample(&b, name, "", v)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeSeries(b *strings.Builder, name, series string, v any) {
	label := `series="` + escape(series) + `"`
	metrics, ok := v.(map[string]any)
	if !ok {
		writeSample(b, name, label, v)
		return
	}
	for _, metric := range slices.Sorted(maps.Keys(metrics)) {
		values, ok := metrics[metric].(map[string]any)
		if !ok {
			writeSample(b, name+"_"+metric, label, metrics[metric])
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(values)) {
			writeSample(b, name+"_"+metric, label+`,key="`+escape(key)+`"`, values[key])
		}
	}
}

// writeSample writes a sample. It skips values that are neither numbers nor booleans.
func writeSample(b *strings.Builder, name, labels string, v any) {
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
	b.WriteString(prefix + strings.Map(nameRune, name))
	if labels != "" {
		b.WriteString("{" + labels + "}")
	}
	b.WriteString(" " + text + "\n")
}

func nameRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
		return r
	}
	return '_'
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(s string) string { return escaper.Replace(s) }
