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

// The habits of callers.
const (
	// callPause is the pause of a caller between two requests.
	callPause = 10 * time.Millisecond
	// callTimeout is what callers say that they wait, patience what they wait.
	callTimeout = 2 * time.Second
	patience    = 10 * time.Second
	// redialPause is the pause of a caller whose connection was refused.
	redialPause = 50 * time.Millisecond
)

// reply is what a caller got for a request.
type reply struct {
	status int
	body   string
	// served says that a backend server gave the answer.
	served bool
	err    error
}

// failure says how a request ended without a whole answer of a server, empty for one with it.
func (re *reply) failure() string {
	switch {
	case re.err != nil:
		return re.err.Error()
	case !re.served:
		return fmt.Sprintf("%d: %s", re.status, re.body)
	}
	return ""
}

// query is one request of a caller.
type query struct {
	id, method, body string
	// chunks says that its body goes in chunks.
	chunks bool
	host   string
}

// newQuery returns the nth request of a caller.
func newQuery(caller string, n int) query {
	qu := query{id: fmt.Sprintf("%s-%d", caller, n), method: http.MethodGet, host: service}
	qu.body = strings.Repeat(qu.id+" ", 1+n%7)
	if n%3 == 0 {
		qu.method = http.MethodPost
	}
	qu.chunks = n%4 < 2
	if n%5 == 0 {
		qu.host = called
	}
	return qu
}

// request returns the request to an outlet.
func (qu *query) request(ctx context.Context, outlet string) (*http.Request, error) {
	// A reader of its own type has no length, and the library does not send it again.
	req, err := http.NewRequestWithContext(ctx, qu.method, "http://"+outlet+"/"+qu.id, io.LimitReader(strings.NewReader(qu.body), int64(len(qu.body))))
	if err != nil {
		return nil, err
	}
	req.Host = qu.host
	req.Header.Set(demo.IDHeader, qu.id)
	req.Header.Set(result.TimeoutHeader, fmt.Sprint(callTimeout.Milliseconds()))
	if !qu.chunks {
		req.ContentLength = int64(len(qu.body))
	}
	if qu.body == "" {
		req.Body = nil
	}
	return req, nil
}

// call sends requests to a VM's daemon, one after the other on a connection that it keeps,
// until ctx ends.
func (wo *world) call(ctx context.Context, n int, v *vm) (sent int) {
	cl := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: patience}
	defer cl.CloseIdleConnections()
	for ; ctx.Err() == nil; sent++ {
		qu, began := newQuery(fmt.Sprint("c", n), sent), time.Now()
		re := ask(context.WithoutCancel(ctx), cl, v, qu)
		wo.record(v, qu, began, re)
		time.Sleep(callPause)
	}
	return sent
}

// ask sends one request and returns its answer.
func ask(ctx context.Context, cl *http.Client, v *vm, qu query) reply {
	req, err := qu.request(ctx, v.outlet)
	if err != nil {
		return reply{err: err}
	}
	res, err := cl.Do(req)
	if err != nil {
		return reply{err: err}
	}
	return readReply(res)
}

func readReply(res *http.Response) reply {
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(text), served: res.Header.Get(demo.ServedByHeader) != "", err: err}
}

// record makes the checks of one request and keeps it for those at the end.
func (wo *world) record(v *vm, qu query, began time.Time, re reply) {
	wo.ledger.told(qu.id, qu.method == http.MethodPost, re.err == nil && re.status == http.StatusServiceUnavailable)
	wo.stops.add(asked{id: qu.id, vm: v, began: began, end: time.Now(), failure: re.failure()})
	if re.err != nil || re.status != http.StatusOK {
		return
	}
	failure := ""
	if want := fmt.Sprintf(" %s /%s %s\n", qu.method, qu.id, qu.body); !strings.HasSuffix(re.body, want) {
		failure = fmt.Sprintf("%s got %.80q", qu.id, re.body)
	}
	wo.board.note(WholeAnswer, failure)
}

// aheadCount is how many requests a caller sends before it reads the first answer.
const aheadCount = 4

// callAhead sends requests to a VM's daemon, some at once on a connection that it keeps,
// until ctx ends.
func (wo *world) callAhead(ctx context.Context, n int, v *vm) (sent int) {
	var nc net.Conn
	var br *bufio.Reader
	drop := func() {
		if nc == nil {
			return
		}
		if err := nc.Close(); err != nil {
			wo.op.Log.Debug("soak-connection-close", "error", err.Error())
		}
		nc = nil
	}
	defer drop()
	for ; ctx.Err() == nil; time.Sleep(callPause) {
		if nc == nil {
			var err error
			if nc, err = net.Dial("tcp", v.outlet); err != nil {
				nc = nil
				time.Sleep(redialPause)
				continue
			}
			br = bufio.NewReader(nc)
		}
		var qus []query
		for range aheadCount {
			qu := newQuery(fmt.Sprint("a", n), sent)
			if qu.method == http.MethodGet {
				qu.body = ""
			}
			qus = append(qus, qu)
			sent++
		}
		if !wo.sendAhead(ctx, nc, br, v, qus) {
			drop()
		}
	}
	return sent
}

// sendAhead sends requests at once and reads their answers, and reports whether the
// connection can be used again.
func (wo *world) sendAhead(ctx context.Context, nc net.Conn, br *bufio.Reader, v *vm, qus []query) (open bool) {
	began := time.Now()
	// An error shows at the next write.
	_ = nc.SetDeadline(began.Add(patience))
	var text strings.Builder
	var reqs []*http.Request
	for _, qu := range qus {
		req, err := qu.request(ctx, v.outlet)
		if err != nil {
			return false
		}
		if err := req.Write(&text); err != nil {
			return false
		}
		reqs = append(reqs, req)
	}
	_, failed := io.WriteString(nc, text.String())
	for i, qu := range qus {
		re := reply{err: failed}
		if failed == nil {
			res, err := http.ReadResponse(br, reqs[i])
			if re.err = err; err == nil {
				re = readReply(res)
				if res.Close {
					failed = io.EOF
				}
			}
			if re.err != nil {
				failed = re.err
			}
		}
		wo.record(v, qu, began, re)
	}
	return failed == nil
}
