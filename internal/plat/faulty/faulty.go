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

// Handler handles a request, number n on its connection counting from 1, whose
// body it has to read itself. It reports whether the connection goes on.
type Handler func(cn net.Conn, n int, req *http.Request) bool

// Server is a backend server that does as Behave says.
type Server struct {
	// Addr is where it listens.
	Addr string

	ln     net.Listener
	behave Handler
	mu     sync.Mutex
	seen   int
	conns  map[net.Conn]bool
}

// New starts a server on a free loopback port; Close ends it.
func New(fn Handler) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(ln, fn), nil
}

// Serve starts a server on ln; Close ends it.
func Serve(ln net.Listener, fn Handler) *Server {
	sr := &Server{Addr: ln.Addr().String(), ln: ln, behave: fn, conns: map[net.Conn]bool{}}
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
		sr.seen++
		sr.mu.Unlock()
		if !sr.behave(cn, n, req) {
			return
		}
	}
}

// RequestCount returns how many requests the server has read the head of.
func (sr *Server) RequestCount() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.seen
}

// Close ends the server and all its connections.
func (sr *Server) Close() {
	sr.ln.Close()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for cn := range sr.conns {
		cn.Close()
	}
}

// RespondOK answers with "ok" and the request's path, in good order.
func RespondOK(cn net.Conn, _ int, req *http.Request) bool {
	ReadBody(req)
	text := "ok " + req.URL.Path
	_, err := fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// ReadBody reads a request's body to its end.
func ReadBody(req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) }

// RespondRaw returns what reads a request and sends text in place of an answer; the
// connection goes on if keep is set.
func RespondRaw(text string, keep bool) Handler {
	return func(cn net.Conn, _ int, req *http.Request) bool {
		ReadBody(req)
		_, err := io.WriteString(cn, text)
		return keep && err == nil
	}
}

// resets returns what does as fn says and ends the connection by a TCP reset.
func resets(fn Handler) Handler {
	return func(cn net.Conn, n int, req *http.Request) bool {
		fn(cn, n, req)
		if tc, ok := cn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return false
	}
}

// Fault is a way in which a backend server fails.
type Fault struct {
	Name    string
	Handler Handler
	// HeadSent says that the head of an answer is sent before the failure.
	HeadSent bool
}

const (
	head = "HTTP/1.1 200 OK\r\n"
	// half is an answer that ends before its length.
	half = head + "Content-Length: 10\r\n\r\nhalf"
)

// Faults are the ways known. In each the server has read the request.
var Faults = []Fault{
	{Name: "closes-after-head", Handler: func(net.Conn, int, *http.Request) bool { return false }},
	{Name: "closes-after-body", Handler: RespondRaw("", false)},
	{Name: "resets-after-body", Handler: resets(RespondRaw("", false))},
	{Name: "closes-in-answer-head", Handler: RespondRaw(head+"Content-Le", false)},
	{Name: "conflicting-lengths", Handler: RespondRaw(head+"Content-Length: 2\r\nContent-Length: 5\r\n\r\nokokok", false)},
	{Name: "huge-head", Handler: hugeHead},
	{Name: "endless-interim", Handler: endlessInterim},
	{Name: "no-http", Handler: RespondRaw("220 mail ready\r\n", false)},
	{Name: "closes-after-answer-head", Handler: RespondRaw(head+"Content-Length: 10\r\n\r\n", false), HeadSent: true},
	{Name: "closes-in-answer-body", Handler: RespondRaw(half, false), HeadSent: true},
	{Name: "resets-in-answer-body", Handler: resets(RespondRaw(half, false)), HeadSent: true},
	{Name: "closes-in-chunked-body", Handler: RespondRaw(head+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false), HeadSent: true},
	{Name: "bad-chunk", Handler: RespondRaw(head+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n", false), HeadSent: true},
}

// hugeHead makes its megabyte when it is used, not when a process starts: every
// daemon has this package in it.
func hugeHead(cn net.Conn, n int, req *http.Request) bool {
	return RespondRaw(head+"X: "+strings.Repeat("x", 1<<20)+"\r\n\r\n", false)(cn, n, req)
}

// interims is how many interim answers an endless series has.
const interims = 100_000

func endlessInterim(cn net.Conn, _ int, req *http.Request) bool {
	ReadBody(req)
	for range interims {
		if _, err := io.WriteString(cn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"); err != nil {
			break
		}
	}
	return false
}

// Find returns the fault of a name.
func Find(name string) (Fault, bool) {
	for _, fa := range Faults {
		if fa.Name == name {
			return fa, true
		}
	}
	return Fault{}, false
}
