package apikey

import (
	"net/http"
	"strings"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// FromHeader returns the API key in the Authorization header. present reports whether the request
// has such a header at all; the key is empty if it has another form, or if there are several: two
// daemons must never take different ones.
func FromHeader(hdr http.Header) (key string, present bool) {
	values := hdr["Authorization"]
	if len(values) != 1 {
		return "", len(values) > 0
	}
	scheme, key, ok := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !ok || !strings.EqualFold(scheme, result.AuthScheme) {
		return "", true
	}
	key = strings.TrimLeft(key, " ")
	if strings.ContainsAny(key, " \t,") {
		return "", true
	}
	return key, true
}
