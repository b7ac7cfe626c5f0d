package notice

import (
	"net/http"
	"strings"
	"testing"
)

var testNames = Names{Limit: "Limit", Leaving: "Leaving"}

func TestRead(t *testing.T) {
	for _, tc := range []struct {
		name           string
		limit, leaving []string
		want           Reading
		wantErr        bool
	}{
		{name: "neither", want: Reading{}},
		{name: "a limit", limit: []string{"3.4"}, want: Reading{LimitState: LimitNamed, Limit: 3.4}},
		{name: "a whole number", limit: []string{"20"}, want: Reading{LimitState: LimitNamed, Limit: 20}},
		{name: "below one", limit: []string{"0.25"}, want: Reading{LimitState: LimitNamed, Limit: 0.25}},
		{name: "zero", limit: []string{"0"}, want: Reading{LimitState: LimitNamed}},
		{name: "spaces", limit: []string{"  3.4 "}, want: Reading{LimitState: LimitNamed, Limit: 3.4}},
		{name: "repeated", limit: []string{"3.4", "3.4"}, want: Reading{LimitState: LimitNamed, Limit: 3.4}},
		{name: "repeated differently", limit: []string{"3.4", "5"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "a list", limit: []string{"3.4, 5"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "negative", limit: []string{"-1"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "not a number", limit: []string{"NaN"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "infinite", limit: []string{"Inf"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "an exponent", limit: []string{"1e3"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "hexadecimal", limit: []string{"0x10"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "two points", limit: []string{"1.2.3"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "a word", limit: []string{"none"}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "empty", limit: []string{""}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "enormous", limit: []string{strings.Repeat("9", 400)}, want: Reading{LimitState: LimitInvalid}, wantErr: true},
		{name: "large", limit: []string{strings.Repeat("9", 20)}, want: Reading{LimitState: LimitNamed, Limit: 1e20}},
		{name: "leaving", leaving: []string{"1"}, want: Reading{Leaving: true}},
		{name: "leaving, spaces", leaving: []string{" 1 "}, want: Reading{Leaving: true}},
		{name: "not leaving", leaving: []string{"0"}, want: Reading{}, wantErr: true},
		{name: "leaving, a word", leaving: []string{"true"}, want: Reading{}, wantErr: true},
		{name: "both", limit: []string{"2"}, leaving: []string{"1"}, want: Reading{LimitState: LimitNamed, Limit: 2, Leaving: true}},
	} {
		hdr := http.Header{}
		for _, v := range tc.limit {
			hdr.Add(testNames.Limit, v)
		}
		for _, v := range tc.leaving {
			hdr.Add(testNames.Leaving, v)
		}
		got, err := testNames.Read(hdr)
		if got != tc.want || err != nil != tc.wantErr {
			t.Errorf("%s: got %+v and %v, want %+v and an error: %v", tc.name, got, err, tc.want, tc.wantErr)
		}
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{"3.4", "0", "NaN", "-1", "1e9", " 1 ", strings.Repeat("9", 40)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		re, err := testNames.Read(http.Header{"Limit": {s}, "Leaving": {s}})
		if re.LimitState == LimitNamed && !(re.Limit >= 0 && re.Limit < 1e33) {
			t.Errorf("%q is read as a limit of %v", s, re.Limit)
		}
		if re.LimitState == LimitAbsent || re.LimitState == LimitInvalid && err == nil {
			t.Errorf("%q: state %d, error %v", s, re.LimitState, err)
		}
	})
}
