package piping

import "bytes"

// head finds the end of a request's head, which is its first empty line, in bytes
// that come in parts. The zero value stands before the first line.
//
// What the head says is left to the library's parser. It ends lines at a line feed
// with or without a carriage return before it, and so does this: were the two to
// differ, what one takes for a body would be a request to the other.
type head struct {
	// line is how many bytes of the present line were seen, return whether the last
	// one is a carriage return.
	line    int
	endsInR bool
	// preface counts the bytes that agree with http2Preface, from the start on.
	preface, seen int
}

// http2Preface begins a connection of HTTP/2, which has streams of its own.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// end takes further bytes and returns how many of them belong to the head, and
// whether that is the whole of it.
func (he *head) end(p []byte) (n int, whole bool) {
	he.compare(p)
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			he.line += len(p) - n
			he.endsInR = p[len(p)-1] == '\r'
			return len(p), false
		}
		empty := he.line+i == 0 || he.line+i == 1 && (i == 1 && p[n] == '\r' || i == 0 && he.endsInR)
		n += i + 1
		he.line, he.endsInR = 0, false
		if empty {
			return n, true
		}
	}
	return n, false
}

func (he *head) compare(p []byte) {
	for i := 0; i < len(p) && he.seen < len(http2Preface); i++ {
		if p[i] == http2Preface[he.seen] {
			he.preface++
		}
		he.seen++
	}
}

// http2 reports whether a whole head is the preface of HTTP/2.
func (he *head) http2() bool { return he.preface == len(http2Preface) }
