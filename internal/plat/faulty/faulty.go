package faulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Handler handles request number n, counted from 1, of a connection. It has to read the request
// body itself, and returns whether to keep the connection open.
type Handler func(cn net.Conn, n int, req *http.Request) bool

// Server is a backend server that passes each request to a Handler.
type Server struct {
	// Addr is the address that the server listens on.
	Addr string

	ln       net.Listener
	handler  Handler
	mu       sync.Mutex
	requests int
	conns    map[net.Conn]bool
}

// New starts a server on a free loopback port. Close stops it.
func New(fn Handler) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(ln, fn), nil
}

// Serve starts a server on ln. Close stops it.
func Serve(ln net.Listener, fn Handler) *Server {
	sr := &Server{Addr: ln.Addr().String(), ln: ln, handler: fn, conns: map[net.Conn]bool{}}
	go sr.accept()
	return sr
}

func (sr *Server) accept() {
	for {
		cn, err := sr.ln.Accept()
		if err != nil {
			return
		}
		sr.mu.Lock()
		sr.conns[cn] = true
		sr.mu.Unlock()
		go sr.serve(cn)
	}
}

func (sr *Server) serve(cn net.Conn) {
	defer func() {
		cn.Close()
		sr.mu.Lock()
		defer sr.mu.Unlock()
		delete(sr.conns, cn)
	}()
	br := bufio.NewReader(cn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		sr.mu.Lock()
		sr.requests++
		sr.mu.Unlock()
		if !sr.handler(cn, n, req) {
			return
		}
	}
}

// RequestCount returns the number of requests whose headers the server has read.
func (sr *Server) RequestCount() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.requests
}

// Close stops the server and closes all its connections.
func (sr *Server) Close() {
	sr.ln.Close()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for cn := range sr.conns {
		cn.Close()
	}
}

// RespondOK is a Handler that responds with "ok" and the request's path.
func RespondOK(cn net.Conn, _ int, req *http.Request) bool {
	ReadBody(req)
	text := "ok " + req.URL.Path
	_, err := fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// ReadBody reads and discards the body of a request.
func ReadBody(req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) }

// RespondRaw returns a Handler that reads the request and writes text instead of a well-formed
// response. It keeps the connection open if keep is set.
func RespondRaw(text string, keep bool) Handler {
	return func(cn net.Conn, _ int, req *http.Request) bool {
		ReadBody(req)
		_, err := io.WriteString(cn, text)
		return keep && err == nil
	}
}

// withReset returns a Handler that calls fn and then closes the connection with a TCP reset.
func withReset(fn Handler) Handler {
	return func(cn net.Conn, n int, req *http.Request) bool {
		fn(cn, n, req)
		if tc, ok := cn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return false
	}
}

// resetDuringUpload responds without a length while the request may still be sent, and then closes the
// connection with a TCP reset.
func resetDuringUpload(response string) Handler {
	return withReset(func(cn net.Conn, _ int, req *http.Request) bool {
		// The upload is on its way once its first bytes have arrived. An error means that it is short.
		_, _ = io.CopyN(io.Discard, req.Body, 1<<10)
		_, _ = io.WriteString(cn, response)
		_, _ = io.CopyN(io.Discard, req.Body, 256<<10)
		return false
	})
}

// UnboundedResets are failure modes in which a response without a length is reset while its request may
// still be sent.
var UnboundedResets = []Fault{
	{Name: "resets-during-upload", Handler: resetDuringUpload(statusLine + "\r\nhalf"), HeadSent: true},
	{Name: "resets-during-upload-after-close", Handler: resetDuringUpload(statusLine + "Connection: close\r\n\r\nhalf"), HeadSent: true},
	{Name: "resets-during-upload-http-1.0", Handler: resetDuringUpload("HTTP/1.0 200 OK\r\n\r\nhalf"), HeadSent: true},
	{Name: "resets-during-upload-no-body", Handler: resetDuringUpload(statusLine + "\r\n"), HeadSent: true},
}

// Fault is a failure mode of a backend server.
type Fault struct {
	Name    string
	Handler Handler
	// HeadSent reports whether complete response headers are sent before the failure.
	HeadSent bool
}

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	// truncated is a response whose body is shorter than its Content-Length.
	truncated = statusLine + "Content-Length: 10\r\n\r\nhalf"
)

// Faults are the known failure modes. In each the server has read the request headers.
var Faults = []Fault{
	{Name: "closes-after-head", Handler: func(net.Conn, int, *http.Request) bool { return false }},
	{Name: "closes-after-body", Handler: RespondRaw("", false)},
	{Name: "resets-after-body", Handler: withReset(RespondRaw("", false))},
	{Name: "closes-in-answer-head", Handler: RespondRaw(statusLine+"Content-Le", false)},
	{Name: "conflicting-lengths", Handler: RespondRaw(statusLine+"Content-Length: 2\r\nContent-Length: 5\r\n\r\nokokok", false)},
	{Name: "huge-head", Handler: hugeHead},
	{Name: "endless-interim", Handler: endlessInterim},
	{Name: "status-out-of-range", Handler: RespondRaw("HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", false)},
	{Name: "blank-in-field-name", Handler: RespondRaw(statusLine+"Content-Length : 10\r\n\r\nhalf", false)},
	{Name: "chunked-in-http-1.0", Handler: RespondRaw("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false)},
	{Name: "no-http", Handler: RespondRaw("220 mail ready\r\n", false)},
	{Name: "closes-after-answer-head", Handler: RespondRaw(statusLine+"Content-Length: 10\r\n\r\n", false), HeadSent: true},
	{Name: "closes-in-answer-body", Handler: RespondRaw(truncated, false), HeadSent: true},
	{Name: "resets-in-answer-body", Handler: withReset(RespondRaw(truncated, false)), HeadSent: true},
	UnboundedResets[0],
	{Name: "closes-in-chunked-body", Handler: RespondRaw(statusLine+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false), HeadSent: true},
	{Name: "blank-in-trailer-name", Handler: RespondRaw(statusLine+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: v\r\n\r\n", false), HeadSent: true},
	{Name: "bad-chunk", Handler: RespondRaw(statusLine+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n", false), HeadSent: true},
}

// hugeHead responds with 1 MiB of headers. It builds them per request rather than at package
// initialization, since every daemon links this package.
func hugeHead(cn net.Conn, n int, req *http.Request) bool {
	return RespondRaw(statusLine+"X: "+strings.Repeat("x", 1<<20)+"\r\n\r\n", false)(cn, n, req)
}

// interimCount is the number of interim responses that endlessInterim sends.
const interimCount = 100_000

func endlessInterim(cn net.Conn, _ int, req *http.Request) bool {
	ReadBody(req)
	for range interimCount {
		if _, err := io.WriteString(cn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"); err != nil {
			break
		}
	}
	return false
}

// Find returns the fault with the given name.
func Find(name string) (Fault, bool) {
	for _, fa := range Faults {
		if fa.Name == name {
			return fa, true
		}
	}
	return Fault{}, false
}
