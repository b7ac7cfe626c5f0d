package piping

import "bytes"

// headScanner finds the end of a request's head, which is its first empty line, in bytes
// that come in parts. The zero value stands before the first line.
//
// What the head says is left to the library's parser. It ends lines at a line feed
// with or without a carriage return before it, and so does this: were the two to
// differ, what one takes for a body would be a request to the other.
type headScanner struct {
	// lineLen is how many bytes of the present line were seen, return whether the last
	// one is a carriage return.
	lineLen  int
	endsInCR bool
	// prefaceMatches counts the bytes that agree with http2Preface, from the start on.
	prefaceMatches, prefaceSeen int
}

// http2Preface begins a connection of HTTP/2, which has streams of its own.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// scan takes further bytes and returns how many of them belong to the head, and
// whether that is the whole of it.
func (hs *headScanner) scan(p []byte) (n int, complete bool) {
	hs.matchPreface(p)
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			hs.lineLen += len(p) - n
			hs.endsInCR = p[len(p)-1] == '\r'
			return len(p), false
		}
		empty := hs.lineLen+i == 0 || hs.lineLen+i == 1 && (i == 1 && p[n] == '\r' || i == 0 && hs.endsInCR)
		n += i + 1
		hs.lineLen, hs.endsInCR = 0, false
		if empty {
			return n, true
		}
	}
	return n, false
}

func (hs *headScanner) matchPreface(p []byte) {
	for i := 0; i < len(p) && hs.prefaceSeen < len(http2Preface); i++ {
		if p[i] == http2Preface[hs.prefaceSeen] {
			hs.prefaceMatches++
		}
		hs.prefaceSeen++
	}
}

// isHTTP2 reports whether a whole head is the preface of HTTP/2.
func (hs *headScanner) isHTTP2() bool { return hs.prefaceMatches == len(http2Preface) }
