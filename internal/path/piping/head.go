package piping

import "bytes"

// headScanner finds the end of a request's head, its first empty line, in bytes that arrive in
// parts. The zero value is ready for the first line.
//
// The contents of the head are parsed by net/http alone. Its parser ends lines at a line feed
// with or without a carriage return before it, and so does the scanner: if the two differed, one
// could read as a request what the other reads as a body (request smuggling).
type headScanner struct {
	// lineLen is how many bytes of the current line were read; endsInCR says that the last of
	// them is a carriage return.
	lineLen  int
	endsInCR bool
	// prefaceMatches is how many of the first prefaceSeen bytes agree with http2Preface.
	prefaceMatches, prefaceSeen int
}

// http2Preface begins an HTTP/2 connection, on which the protocol itself multiplexes requests.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// scan processes further bytes. It returns how many of them belong to the head, and whether the
// head is complete.
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

// isHTTP2 reports whether a complete head is the HTTP/2 preface.
func (hs *headScanner) isHTTP2() bool { return hs.prefaceMatches == len(http2Preface) }
