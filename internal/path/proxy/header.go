package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/flamingomast/flamingomast/internal/path/result"
)

// hopByHop are the headers that end at each hop (RFC 9110 section 7.6.1), and
// Expect, which each hop answers for itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Clean removes from hdr what must not pass a hop, and all headers of this
// system, so that neither callers nor backend servers can forge them.
func Clean(hdr http.Header) {
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

// Clone returns a copy of hdr that shares the values, with room for more.
func Clone(hdr http.Header) http.Header {
	cp := make(http.Header, len(hdr)+8)
	for name, values := range hdr {
		cp[name] = values
	}
	return cp
}

// ReservedHeader returns the first header of this system that a caller may not set.
func ReservedHeader(hdr http.Header) string {
	for name := range hdr {
		if result.IsControl(name) && name != result.TimeoutHeader {
			return name
		}
	}
	return ""
}

// Upgrades reports whether a request asks for another protocol on its
// connection, which is not carried.
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
