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

// Behave handles a request, number n on its connection counting from 1, whose
// body it has to read itself. It reports whether the connection goes on.
type Behave func(cn net.Conn, n int, req *http.Request) bool

// Server is a backend server that does as Behave says.
type Server struct {
	// Addr is where it listens.
	Addr string

	ln       net.Listener
	handler  Behave
	mu       sync.Mutex
	requests int
	conns    map[net.Conn]bool
}

// New starts a server on a free loopback port; Close ends it.
func New(fn Behave) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(ln, fn), nil
}

// Serve starts a server on ln; Close ends it.
func Serve(ln net.Listener, fn Behave) *Server {
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

// Seen returns how many requests the server has read the head of.
func (sr *Server) Seen() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.requests
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

// Well answers with "ok" and the request's path, in good order.
func Well(cn net.Conn, _ int, req *http.Request) bool {
	ReadBody(req)
	text := "ok " + req.URL.Path
	_, err := fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// ReadBody reads a request's body to its end.
func ReadBody(req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) }

// Sends returns what reads a request and sends text in place of an answer; the
// connection goes on if keep is set.
func Sends(text string, keep bool) Behave {
	return func(cn net.Conn, _ int, req *http.Request) bool {
		ReadBody(req)
		_, err := io.WriteString(cn, text)
		return keep && err == nil
	}
}

// withReset returns what does as fn says and ends the connection by a TCP reset.
func withReset(fn Behave) Behave {
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
	Name   string
	Behave Behave
	// Broken says that the head of an answer is sent before the failure.
	Broken bool
}

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	// truncated is an answer that ends before its length.
	truncated = statusLine + "Content-Length: 10\r\n\r\nhalf"
)

// Faults are the ways known. In each the server has read the request.
var Faults = []Fault{
	{Name: "closes-after-head", Behave: func(net.Conn, int, *http.Request) bool { return false }},
	{Name: "closes-after-body", Behave: Sends("", false)},
	{Name: "resets-after-body", Behave: withReset(Sends("", false))},
	{Name: "closes-in-answer-head", Behave: Sends(statusLine+"Content-Le", false)},
	{Name: "conflicting-lengths", Behave: Sends(statusLine+"Content-Length: 2\r\nContent-Length: 5\r\n\r\nokokok", false)},
	{Name: "huge-head", Behave: hugeHead},
	{Name: "endless-interim", Behave: endlessInterim},
	{Name: "no-http", Behave: Sends("220 mail ready\r\n", false)},
	{Name: "closes-after-answer-head", Behave: Sends(statusLine+"Content-Length: 10\r\n\r\n", false), Broken: true},
	{Name: "closes-in-answer-body", Behave: Sends(truncated, false), Broken: true},
	{Name: "resets-in-answer-body", Behave: withReset(Sends(truncated, false)), Broken: true},
	{Name: "closes-in-chunked-body", Behave: Sends(statusLine+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false), Broken: true},
	{Name: "bad-chunk", Behave: Sends(statusLine+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n", false), Broken: true},
}

// hugeHead makes its megabyte when it is used, not when a process starts: every
// daemon has this package in it.
func hugeHead(cn net.Conn, n int, req *http.Request) bool {
	return Sends(statusLine+"X: "+strings.Repeat("x", 1<<20)+"\r\n\r\n", false)(cn, n, req)
}

// interimCount is how many interim answers an endless series has.
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

// Find returns the fault of a name.
func Find(name string) (Fault, bool) {
	for _, fa := range Faults {
		if fa.Name == name {
			return fa, true
		}
	}
	return Fault{}, false
}
