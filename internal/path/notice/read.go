package notice

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// LimitState is whether a response names a rate limit.
type LimitState int

// The states.
const (
	// LimitAbsent means that the response has no limit: the server takes any rate.
	LimitAbsent LimitState = iota
	// LimitNamed means that the response names a limit.
	LimitNamed
	// LimitInvalid means that the value cannot be used. It says nothing: a limit in force stays.
	LimitInvalid
)

// Reading is what one response of a backend server says.
type Reading struct {
	LimitState LimitState
	// Limit is the rate in requests per second that the server takes from all callers together, if
	// LimitState is LimitNamed.
	Limit float64
	// Leaving is set if the server is to get no more requests.
	Leaving bool
}

// InvalidError describes a header whose value cannot be used.
type InvalidError struct {
	Header, Value, Problem string
}

// Error implements the error interface.
func (er *InvalidError) Error() string {
	return fmt.Sprintf("header %s of the backend server is %q: %s", er.Header, er.Value, er.Problem)
}

// Names are the headers of a backend server's responses.
type Names struct {
	// Limit carries the rate limit, Leaving is leavingValue if the server is leaving.
	Limit, Leaving string
}

const (
	leavingValue = "1"
	// maxLimitText bounds the length of a limit, maxErrorText that of a value in an error.
	maxLimitText = 32
	maxErrorText = 64
)

// Read returns what a response says, and the first value that cannot be used.
func (nm Names) Read(hdr http.Header) (Reading, error) {
	var re Reading
	var invalid error
	if values := hdr.Values(nm.Leaving); len(values) > 0 {
		text := strings.TrimSpace(values[0])
		re.Leaving = text == leavingValue
		if !re.Leaving {
			invalid = newInvalidError(nm.Leaving, text, "want "+leavingValue)
		}
	}
	if values := hdr.Values(nm.Limit); len(values) > 0 {
		limit, problem := parseLimit(values)
		re.LimitState, re.Limit = LimitNamed, limit
		if problem != "" {
			re.LimitState, invalid = LimitInvalid, newInvalidError(nm.Limit, strings.Join(values, ", "), problem)
		}
	}
	return re, invalid
}

func newInvalidError(header, value, problem string) error {
	if len(value) > maxErrorText {
		value = value[:maxErrorText]
	}
	return &InvalidError{Header: header, Value: value, Problem: problem}
}

// parseLimit returns the limit in the values of a header, or what is wrong with them.
func parseLimit(values []string) (limit float64, problem string) {
	text := strings.TrimSpace(values[0])
	if slices.ContainsFunc(values[1:], func(other string) bool { return strings.TrimSpace(other) != text }) {
		return 0, "it is repeated with different values"
	}
	if len(text) > maxLimitText || strings.Trim(text, "0123456789.") != "" {
		// strconv also accepts signs, exponents, hexadecimal numbers, NaN and infinity.
		return 0, "want a decimal number of requests per second"
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, "want a decimal number of requests per second"
	}
	return limit, ""
}
