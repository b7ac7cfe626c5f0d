package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// hopByHop are the headers that apply to a single hop (RFC 9110 section 7.6.1), and Expect, which
// each hop handles itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// SanitizeHeader removes hop-by-hop headers from hdr, and all headers of this system, so that
// neither callers nor backend servers can forge them.
func SanitizeHeader(hdr http.Header) {
	for _, list := range hdr["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				hdr.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(hdr, name)
	}
	for name := range hdr {
		if result.IsControl(name) {
			delete(hdr, name)
		}
	}
}

// ShallowClone returns a copy of hdr that shares the values, with room for more.
func ShallowClone(hdr http.Header) http.Header {
	cp := make(http.Header, len(hdr)+8)
	for name, values := range hdr {
		cp[name] = values
	}
	return cp
}

// ReservedHeader returns a header of this system in hdr that callers may not set, or "" if there is
// none.
func ReservedHeader(hdr http.Header) string {
	for name := range hdr {
		if result.IsControl(name) && name != result.TimeoutHeader {
			return name
		}
	}
	return ""
}

// Upgrades reports whether a request asks for a protocol upgrade, which is not supported.
func Upgrades(hdr http.Header) bool {
	for _, list := range hdr["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(textproto.TrimString(name), "upgrade") {
				return true
			}
		}
	}
	return false
}
