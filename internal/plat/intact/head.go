package intact

import (
	"bytes"
	"fmt"
	"net/http"
)

// MaxHead is the largest size in bytes of the head of a response, together with the interim responses
// before it.
const MaxHead = 256 << 10

// part is what the next byte of a head belongs to.
type part int

const (
	statusLine part = iota
	// lineStart is the first byte of a field line, of its continuation, or of the line that ends the
	// head.
	lineStart
	fieldName
	fieldValue
	// lineFeed must follow a carriage return.
	lineFeed
	// beyond is what follows the head.
	beyond
)

// maxToken is how many bytes of a status line or of a field name are examined as a whole.
const maxToken = 32

// headScanner checks the head of a response, and the interim responses before it, byte by byte. The
// parser of the HTTP library is lenient: it accepts blanks in field names and any three characters
// that are a number as a status. A field line that frames the body does not frame it under another
// name.
//
// Accepted are all heads that RFC 9112 lets a recipient accept: bare line feeds, folded lines, and
// blanks before the status.
type headScanner struct {
	part part
	// line is the part to which the carriage return before a lineFeed belongs.
	line part
	// token begins the status line, or the field name in lower case, which has length bytes.
	token  [maxToken]byte
	length int
	// size is how many bytes of all heads were read.
	size int
	// status and minor are those of the status line.
	status int
	minor  byte
	// folds is set once a field line was read, which the next line may continue.
	folds bool
}

// scan processes further bytes of a response. It returns how many of them may be passed on: up to the
// first byte that violates the protocol, if there is one.
func (hs *headScanner) scan(p []byte) (int, *Error) {
	if hs.part == beyond {
		return len(p), nil
	}
	n := min(len(p), MaxHead-hs.size)
	for i := 0; i < n; i++ {
		if hs.part == fieldValue {
			// Most bytes of a head need no more than this.
			for i < n && isText[p[i]] {
				i++
			}
			if i == n {
				break
			}
		}
		if er := hs.next(p[i]); er != nil {
			return i, er
		}
		if hs.part == beyond {
			return len(p), nil
		}
	}
	hs.size += n
	if n < len(p) {
		return n, malformed("the head exceeds %d bytes", MaxHead)
	}
	return n, nil
}

// next processes one byte.
func (hs *headScanner) next(c byte) *Error {
	switch hs.part {
	case lineStart:
		if c == ' ' || c == '\t' {
			if !hs.folds {
				return malformed("the first field line begins with a blank")
			}
			hs.part = fieldValue
			return nil
		}
		if c != '\r' && c != '\n' {
			hs.part, hs.length = fieldName, 0
			return hs.nextOfName(c)
		}
	case fieldName:
		return hs.nextOfName(c)
	case lineFeed:
		if c != '\n' {
			return malformed("a carriage return is followed by %q", c)
		}
		hs.part = hs.line
	}
	switch {
	case c == '\r':
		hs.line, hs.part = hs.part, lineFeed
		return nil
	case c == '\n':
		return hs.endLine()
	case !isText[c]:
		return malformed("a line of the head holds %q", c)
	}
	if hs.part == statusLine {
		hs.store(c)
	}
	return nil
}

// nextOfName processes one byte of a field name or the colon behind it.
func (hs *headScanner) nextOfName(c byte) *Error {
	switch {
	case c == ':' && hs.length > 0:
		hs.part = fieldValue
		return hs.endName()
	case lowerToken[c] != 0:
		hs.store(lowerToken[c])
		return nil
	}
	return malformed("the name of a field, which begins with %q, holds %q", hs.tokenText(), c)
}

// endName processes the end of a field name.
func (hs *headScanner) endName() *Error {
	// The library ignores it in responses of HTTP/1.0, and would take the chunks for the body.
	if hs.minor == '0' && hs.length <= maxToken && string(hs.tokenText()) == "transfer-encoding" {
		return malformed("Transfer-Encoding in a response of HTTP/1.0")
	}
	return nil
}

// endLine processes the end of a line.
func (hs *headScanner) endLine() *Error {
	switch hs.part {
	case statusLine:
		hs.part, hs.folds = lineStart, false
		return hs.endStatusLine()
	case fieldValue:
		hs.part, hs.folds = lineStart, true
	case lineStart:
		hs.part = beyond
		if hs.status < http.StatusOK {
			// The final response follows an interim one.
			hs.part, hs.length = statusLine, 0
		}
	}
	return nil
}

// endStatusLine processes the end of the status line.
func (hs *headScanner) endStatusLine() *Error {
	text := hs.tokenText()
	minor, found := bytes.CutPrefix(text, []byte("HTTP/1."))
	if !found || len(minor) < 2 || !isDigit(minor[0]) || minor[1] != ' ' {
		return malformed("the status line %q names no version of HTTP/1", text)
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(minor[1:], " "), []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return malformed("the status line %q has no status", text)
	}
	hs.minor, hs.status = minor[0], 100*int(code[0]-'0')+10*int(code[1]-'0')+int(code[2]-'0')
	if hs.status < http.StatusContinue {
		return malformed("the status %s is out of range", code)
	}
	if hs.status == http.StatusSwitchingProtocols {
		return malformed("the server switches protocols without being asked to")
	}
	return nil
}

// store adds a byte to the token.
func (hs *headScanner) store(c byte) {
	if hs.length < maxToken {
		hs.token[hs.length] = c
	}
	hs.length++
}

// tokenText returns the beginning of the token.
func (hs *headScanner) tokenText() []byte { return hs.token[:min(hs.length, maxToken)] }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText holds the bytes that may be in the value of a field or in the reason of a status line.
// lowerToken maps the bytes that may be in the name of a field (RFC 9110 section 5.6.2) to lower case, and
// all others to 0.
var isText, lowerToken = func() (text [256]bool, token [256]byte) {
	for c := range 256 {
		text[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz") {
		token[c] = c
	}
	for c := byte('A'); c <= 'Z'; c++ {
		token[c] = c + 'a' - 'A'
	}
	return text, token
}()

func malformed(format string, args ...any) *Error {
	return &Error{Kind: Malformed, Detail: fmt.Sprintf(format, args...)}
}
