package ctrl

import (
	"context"
	"crypto/subtle"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/link"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/stall"
)

// maxMessage bounds a message in bytes, well above a whole content.
const maxMessage = 4 << 20

// dialTimeout bounds the opening of a connection to another daemon.
const dialTimeout = time.Second

type deadlineKey struct{}

// Handler serves the other daemons. It needs HTTP/2, see Protocols.
func (nd *Node) Handler() http.Handler {
	// Messages are compressed where it pays, by the one coder of the process. The
	// library's compression keeps a coder for each stream, most of the heap of a relay,
	// and compresses each beat.
	path, h := wirepb.NewControlHandler(&server{nd: nd}, connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil))
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := "Bearer " + nd.cf.Token
		if nd.cf.Token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			http.Error(w, "the mesh token is missing or wrong", http.StatusUnauthorized)
			return
		}
		rc := http.NewResponseController(w)
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), deadlineKey{}, rc)))
	}))
	return mux
}

// Protocols returns what the control part speaks: HTTP/2 without TLS.
func Protocols() *http.Protocols {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &ps
}

// http2Config bounds what a connection holds in memory and ends connections
// whose other side no longer answers.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize:              16 << 10,
		MaxReceiveBufferPerConnection: 128 << 10,
		MaxReceiveBufferPerStream:     64 << 10,
		SendPingTimeout:               5 * time.Second,
		PingTimeout:                   3 * time.Second,
	}
}

// NewServer returns a server for the control part's listener.
func (nd *Node) NewServer() *http.Server {
	return &http.Server{
		Handler:           nd.Handler(),
		Protocols:         Protocols(),
		HTTP2:             http2Config(),
		ReadHeaderTimeout: 5 * time.Second,
	}
}

type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip adds the mesh token to a request.
func (tt *tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if tt.token != "" {
		r.Header.Set("Authorization", "Bearer "+tt.token)
	}
	return tt.next.RoundTrip(r)
}

// CloseIdleConnections passes the call on.
func (tt *tokenTransport) CloseIdleConnections() {
	tt.next.(*http.Transport).CloseIdleConnections()
}

func newHTTPClient(cf Config) *http.Client {
	dial := cf.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
		}
	}
	tr := &http.Transport{
		Protocols: Protocols(),
		HTTP2:     http2Config(),
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, addr)
		},
		// A daemon that has moved on to its relay leaves an idle connection with
		// whoever it asked first; a herd that starts leaves hundreds with a seed.
		IdleConnTimeout: 5 * time.Second,
	}
	return &http.Client{Transport: &tokenTransport{token: cf.Token, next: tr}}
}

// Client returns a client of the daemon at addr.
func (nd *Node) Client(addr string) wirepb.ControlClient {
	return nd.client(nd.http, addr)
}

// fetchClient returns a client of a peer for content of any size.
func (nd *Node) fetchClient(pr *link.Peer) wirepb.ControlClient {
	return nd.client(&stall.Client{HTTP: nd.http.Do, Timeout: fetchTimeout, OnReceive: pr.MarkAlive}, nd.addressOf(pr))
}

func (nd *Node) client(hc connect.HTTPClient, addr string) wirepb.ControlClient {
	return wirepb.NewControlClient(hc, "http://"+addr, connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
}

type server struct {
	nd *Node
}

// Link serves a link that another daemon has opened.
func (sr *server) Link(ctx context.Context, bs *connect.BidiStream[wirepb.Packet, wirepb.Packet]) error {
	ab := &aborter{}
	ab.rc, _ = ctx.Value(deadlineKey{}).(*http.ResponseController)
	defer ab.over()
	pr := link.New(link.Stream{Send: bs.Send, Receive: bs.Receive, Abort: ab.abort}, sr.nd.offer)
	pr.OnSent = sr.nd.countSent
	err := pr.Run(ctx, sr.nd.handle)
	sr.nd.drop(pr, err)
	return nil
}

// aborter ends a stream from the serving side. A deadline in the past ends a
// Send that waits for a peer which has stopped reading; ending the context
// alone does not. After the handler has returned the controller is no longer
// valid and must not be touched.
type aborter struct {
	mu sync.Mutex
	rc *http.ResponseController
}

func (ab *aborter) abort() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if ab.rc != nil {
		past := time.Unix(1, 0)
		_ = ab.rc.SetReadDeadline(past)
		_ = ab.rc.SetWriteDeadline(past)
	}
}

func (ab *aborter) over() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.rc = nil
}

// Fetch returns the newest configuration. Deltas cost little and are always
// served; whole contents are bounded in rate and number, so that a herd of
// daemons that starts at once is served in turn and told when to come back.
func (sr *server) Fetch(_ context.Context, req *connect.Request[wirepb.FetchRequest]) (*connect.Response[wirepb.FetchResponse], error) {
	nd := sr.nd
	cfg := nd.Board.Latest.Get()
	if cfg == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no configuration yet"))
	}
	dg := cfg.Content.Digest
	res := &wirepb.FetchResponse{Number: cfg.Version, Digest: dg[:]}
	if len(req.Msg.Have) == len(dg) {
		if body, ok := nd.history.EncodedDelta(pack.Digest(req.Msg.Have), dg); ok {
			res.Base, res.Body = req.Msg.Have, body
			nd.Traffic.Add("fetch/deltas", int64(len(body)))
			return connect.NewResponse(res), nil
		}
	}
	select {
	case nd.transfers <- struct{}{}:
		defer func() { <-nd.transfers }()
	default:
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: later()}), nil
	}
	if !nd.wholes.Allow() {
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: later()}), nil
	}
	body, ok := nd.history.EncodedContent(dg)
	if !ok {
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: later()}), nil
	}
	res.Body = body
	nd.Traffic.Add("fetch/wholes", int64(len(body)))
	return connect.NewResponse(res), nil
}

// later draws the time after which a refused fetch should come back, in
// milliseconds, spread over a second so that those refused do not come at once.
func later() uint32 { return 50 + rand.Uint32N(1000) }

// Drain takes the order to drain, if it is meant for this VM.
func (sr *server) Drain(_ context.Context, req *connect.Request[wirepb.DrainRequest]) (*connect.Response[wirepb.DrainResponse], error) {
	if req.Msg.Vm != sr.nd.cf.VM {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("this is the VM "+sr.nd.cf.VM))
	}
	return connect.NewResponse(&wirepb.DrainResponse{Running: uint32(sr.nd.cf.Drain())}), nil
}

// Status returns what this daemon knows of the fleet, and asks its relay when
// it is none itself.
func (sr *server) Status(ctx context.Context, req *connect.Request[wirepb.StatusRequest]) (*connect.Response[wirepb.StatusResponse], error) {
	return connect.NewResponse(sr.nd.Status(ctx, req.Msg.Forwarded)), nil
}

// Status returns what is known of the fleet.
func (nd *Node) Status(ctx context.Context, forwarded bool) *wirepb.StatusResponse {
	if !nd.isRelay() && !forwarded {
		for _, addr := range nd.outgoing() {
			res, err := nd.Client(addr).Status(ctx, connect.NewRequest(&wirepb.StatusRequest{Forwarded: true}))
			if err == nil {
				return res.Msg
			}
		}
	}
	res := &wirepb.StatusResponse{Latest: nd.Board.LatestVersion()}
	for rc := range nd.Board.Members.Get().All {
		res.Records = append(res.Records, rc.ToWire())
	}
	if cut := nd.Board.Unreachable.Get(); cut != nil {
		for dm := range *cut {
			res.Cut = append(res.Cut, dm)
		}
	}
	slices.Sort(res.Cut)
	if pl := nd.Board.Platform.Get(); pl != nil {
		res.Platform, res.PlatformBehind = pl.Version, pl.Behind
		if pl.Err != nil {
			res.PlatformError = pl.Err.Error()
		}
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for dm, su := range nd.summaries {
		if dm != nd.cf.Domain {
			res.Summaries = append(res.Summaries, su)
		}
	}
	res.Summaries = append(res.Summaries, nd.summary())
	return res
}

// outgoing returns the addresses of the links that this daemon has opened.
func (nd *Node) outgoing() []string {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	var addrs []string
	for pr := range nd.peers {
		if pr.Outgoing {
			addrs = append(addrs, pr.Addr)
		}
	}
	return addrs
}
