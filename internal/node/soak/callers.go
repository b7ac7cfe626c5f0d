package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/flamingomast/flamingomast/internal/node/demo"
	"github.com/flamingomast/flamingomast/internal/path/result"
)

// The timing of the callers.
const (
	// requestPause is the pause of a caller between two requests, or two batches of
	// pipelined ones.
	requestPause = 10 * time.Millisecond
	// requestTimeout is the timeout that callers state in a request, clientTimeout the time
	// after which they give up on it.
	requestTimeout = 2 * time.Second
	clientTimeout  = 10 * time.Second
	// redialPause is the pause of a caller after it could not connect.
	redialPause = 50 * time.Millisecond
)

// response is what a caller received for a request.
type response struct {
	status int
	body   string
	// fromServer reports whether a backend server sent the response.
	fromServer bool
	err        error
}

// failure describes how a request ended without a complete response of a backend server. It is
// empty for a request that got one.
func (re *response) failure() string {
	switch {
	case re.err != nil:
		return re.err.Error()
	case !re.fromServer:
		return fmt.Sprintf("%d: %s", re.status, re.body)
	}
	return ""
}

// request is one request of a caller.
type request struct {
	id, method, body string
	// chunked sends the body with chunked transfer encoding.
	chunked bool
	host    string
}

// newRequest returns the nth request of a caller.
func newRequest(caller string, n int) request {
	rq := request{id: fmt.Sprintf("%s-%d", caller, n), method: http.MethodGet, host: service}
	rq.body = strings.Repeat(rq.id+" ", 1+n%7)
	if n%3 == 0 {
		rq.method = http.MethodPost
	}
	rq.chunked = n%4 < 2
	if n%5 == 0 {
		rq.host = calledService
	}
	return rq
}

// httpRequest returns the HTTP request to an outlet.
func (rq *request) httpRequest(ctx context.Context, outlet string) (*http.Request, error) {
	// net/http neither knows the length of a LimitReader nor can it rewind one, so it sends the
	// body in chunks and does not retry the request.
	req, err := http.NewRequestWithContext(ctx, rq.method, "http://"+outlet+"/"+rq.id, io.LimitReader(strings.NewReader(rq.body), int64(len(rq.body))))
	if err != nil {
		return nil, err
	}
	req.Host = rq.host
	req.Header.Set(demo.IDHeader, rq.id)
	req.Header.Set(result.TimeoutHeader, fmt.Sprint(requestTimeout.Milliseconds()))
	if !rq.chunked {
		req.ContentLength = int64(len(rq.body))
	}
	if rq.body == "" {
		req.Body = nil
	}
	return req, nil
}

// runCaller sends requests to a VM's daemon, one after the other on a persistent connection,
// until ctx ends. It returns how many it sent.
func (fl *fleet) runCaller(ctx context.Context, n int, v *vm) (sent int) {
	hc := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: clientTimeout}
	defer hc.CloseIdleConnections()
	for ; ctx.Err() == nil; sent++ {
		rq, began := newRequest(fmt.Sprint("c", n), sent), time.Now()
		re := send(context.WithoutCancel(ctx), hc, v, rq)
		fl.recordResponse(v, rq, began, re)
		time.Sleep(requestPause)
	}
	return sent
}

// send sends one request and returns its response.
func send(ctx context.Context, hc *http.Client, v *vm, rq request) response {
	req, err := rq.httpRequest(ctx, v.outlet)
	if err != nil {
		return response{err: err}
	}
	res, err := hc.Do(req)
	if err != nil {
		return response{err: err}
	}
	return readResponse(res)
}

func readResponse(res *http.Response) response {
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, body: string(text), fromServer: res.Header.Get(demo.ServedByHeader) != "", err: err}
}

// recordResponse checks one response and records the request for the checks at the end of the
// run.
func (fl *fleet) recordResponse(v *vm, rq request, began time.Time, re response) {
	fl.requests.recordOutcome(rq.id, rq.method == http.MethodPost, re.err == nil && re.status == http.StatusServiceUnavailable)
	fl.stops.recordCall(callRecord{id: rq.id, vm: v, began: began, end: time.Now(), failure: re.failure()})
	if re.err != nil || re.status != http.StatusOK {
		return
	}
	failure := ""
	if want := fmt.Sprintf(" %s /%s %s\n", rq.method, rq.id, rq.body); !strings.HasSuffix(re.body, want) {
		failure = fmt.Sprintf("%s got the response %.80q", rq.id, re.body)
	}
	fl.results.record(IntactResponse, failure)
}

// pipelineDepth is how many requests a caller sends before it reads the first response.
const pipelineDepth = 4

// runPipelinedCaller sends pipelined requests to a VM's daemon on a persistent connection until
// ctx ends. It returns how many it sent.
func (fl *fleet) runPipelinedCaller(ctx context.Context, n int, v *vm) (sent int) {
	var nc net.Conn
	var br *bufio.Reader
	closeConn := func() {
		if nc == nil {
			return
		}
		if err := nc.Close(); err != nil {
			fl.op.Log.Debug("soak-connection-close", "error", err.Error())
		}
		nc = nil
	}
	defer closeConn()
	for ; ctx.Err() == nil; time.Sleep(requestPause) {
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", v.outlet); err != nil {
				nc = nil
				time.Sleep(redialPause)
				continue
			}
			br = bufio.NewReader(nc)
		}
		var rqs []request
		for range pipelineDepth {
			rq := newRequest(fmt.Sprint("a", n), sent)
			if rq.method == http.MethodGet {
				rq.body = ""
			}
			rqs = append(rqs, rq)
			sent++
		}
		if !fl.sendPipelined(ctx, nc, br, v, rqs) {
			closeConn()
		}
	}
	return sent
}

// sendPipelined sends requests without waiting for responses, then reads the responses, and
// reports whether the connection can be reused.
func (fl *fleet) sendPipelined(ctx context.Context, nc net.Conn, br *bufio.Reader, v *vm, rqs []request) (reusable bool) {
	began := time.Now()
	// An error of SetDeadline shows at the next write.
	_ = nc.SetDeadline(began.Add(clientTimeout))
	var text strings.Builder
	var reqs []*http.Request
	for _, rq := range rqs {
		req, err := rq.httpRequest(ctx, v.outlet)
		if err != nil {
			return false
		}
		if err := req.Write(&text); err != nil {
			return false
		}
		reqs = append(reqs, req)
	}
	_, connErr := io.WriteString(nc, text.String())
	for i, rq := range rqs {
		re := response{err: connErr}
		if connErr == nil {
			res, err := http.ReadResponse(br, reqs[i])
			if re.err = err; err == nil {
				re = readResponse(res)
				if res.Close {
					connErr = io.EOF
				}
			}
			if re.err != nil {
				connErr = re.err
			}
		}
		fl.recordResponse(v, rq, began, re)
	}
	return connErr == nil
}
