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

// maxMessage bounds the size of a message in bytes, well above that of a full content.
const maxMessage = 4 << 20

// dialTimeout bounds the time to connect to another daemon.
const dialTimeout = time.Second

// callTimeout bounds the time during which no data of the response to a single call arrives. A daemon
// answers at once, or asks its relay.
const callTimeout = 10 * time.Second

type controllerKey struct{}

// Handler returns the handler for requests of other daemons. It requires HTTP/2, see Protocols.
func (nd *Node) Handler() http.Handler {
	// Message bodies are compressed where it pays off, with one encoder per process. The
	// compression of the connect library keeps an encoder for each stream, which would take up
	// most of the heap of a relay, and compresses every heartbeat.
	path, h := wirepb.NewControlHandler(&server{nd: nd}, connect.WithReadMaxBytes(maxMessage), connect.WithCompression("gzip", nil, nil))
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := "Bearer " + nd.cf.Token
		if nd.cf.Token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			http.Error(w, "the mesh token is missing or wrong", http.StatusUnauthorized)
			return
		}
		rc := http.NewResponseController(w)
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), controllerKey{}, rc)))
	}))
	return mux
}

// Protocols returns the protocols of the control plane: HTTP/2 without TLS.
func Protocols() *http.Protocols {
	var ps http.Protocols
	ps.SetUnencryptedHTTP2(true)
	return &ps
}

// http2Config limits the memory of a connection and closes connections whose peer no longer
// answers.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReadFrameSize:              16 << 10,
		MaxReceiveBufferPerConnection: 128 << 10,
		MaxReceiveBufferPerStream:     64 << 10,
		SendPingTimeout:               5 * time.Second,
		PingTimeout:                   3 * time.Second,
	}
}

// NewServer returns an HTTP server for the control plane's listener.
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

// CloseIdleConnections closes the idle connections of the underlying transport.
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
		// A daemon that has moved on to its relay leaves an idle connection at the daemon that it
		// contacted first. When many daemons start together, a seed would keep hundreds of them.
		IdleConnTimeout: 5 * time.Second,
	}
	return &http.Client{Transport: &tokenTransport{token: cf.Token, next: tr}}
}

// Client returns a client for single calls to the daemon at addr.
func (nd *Node) Client(addr string) wirepb.ControlClient {
	return nd.client(&stall.Client{HTTP: nd.http.Do, Timeout: callTimeout, MaxBody: maxMessage}, addr)
}

// linkClient returns a client for links, which last, to the daemon at addr.
func (nd *Node) linkClient(addr string) wirepb.ControlClient { return nd.client(nd.http, addr) }

// fetchClient returns a client for fetching content of any size from a peer.
func (nd *Node) fetchClient(pr *link.Peer) wirepb.ControlClient {
	return nd.client(&stall.Client{HTTP: nd.http.Do, Timeout: fetchTimeout, MaxBody: maxMessage, OnReceive: pr.MarkAlive}, nd.addressOf(pr))
}

func (nd *Node) client(hc connect.HTTPClient, addr string) wirepb.ControlClient {
	return wirepb.NewControlClient(hc, "http://"+addr, connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
}

type server struct {
	nd *Node
}

// Link serves a link opened by another daemon.
func (sr *server) Link(ctx context.Context, bs *connect.BidiStream[wirepb.Packet, wirepb.Packet]) error {
	ab := &aborter{}
	ab.rc, _ = ctx.Value(controllerKey{}).(*http.ResponseController)
	defer ab.release()
	pr := link.New(link.Stream{Send: bs.Send, Receive: bs.Receive, Abort: ab.abort}, sr.nd.offer)
	pr.OnSent = sr.nd.countSent
	err := pr.Run(ctx, sr.nd.handlePacket)
	sr.nd.removePeer(pr, err)
	return nil
}

// aborter ends a stream on the server side. A deadline in the past ends a Send that waits for a
// peer which has stopped reading; cancelling the context does not. Once the handler has returned,
// the controller is invalid and must not be used.
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

func (ab *aborter) release() {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	ab.rc = nil
}

// Fetch returns the newest configuration. Deltas are cheap and always served. Full contents are
// limited in rate and number, so that many daemons starting together are served in turn and told
// when to retry.
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
	case nd.fullSlots <- struct{}{}:
		defer func() { <-nd.fullSlots }()
	default:
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: retryDelayMs()}), nil
	}
	if !nd.fullLimiter.Allow() {
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: retryDelayMs()}), nil
	}
	body, ok := nd.history.EncodedContent(dg)
	if !ok {
		return connect.NewResponse(&wirepb.FetchResponse{LaterMs: retryDelayMs()}), nil
	}
	res.Body = body
	nd.Traffic.Add("fetch/wholes", int64(len(body)))
	return connect.NewResponse(res), nil
}

// retryDelayMs returns the delay in milliseconds after which a rejected fetch should be retried. It
// is random within a second, so that rejected daemons do not all retry at once.
func retryDelayMs() uint32 { return 50 + rand.Uint32N(1000) }

// Drain starts draining the backend server, if the request is meant for this VM.
func (sr *server) Drain(_ context.Context, req *connect.Request[wirepb.DrainRequest]) (*connect.Response[wirepb.DrainResponse], error) {
	if req.Msg.Vm != sr.nd.cf.VM {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("drain request is for another VM; this daemon serves "+sr.nd.cf.VM))
	}
	return connect.NewResponse(&wirepb.DrainResponse{Running: uint32(sr.nd.cf.Drain())}), nil
}

// Status returns what this daemon knows of the mesh, or what its relay knows if it is no relay
// itself.
func (sr *server) Status(ctx context.Context, req *connect.Request[wirepb.StatusRequest]) (*connect.Response[wirepb.StatusResponse], error) {
	return connect.NewResponse(sr.nd.Status(ctx, req.Msg.Forwarded)), nil
}

// maxListedTenants bounds how many tenants a status lists.
const maxListedTenants = 20

// Status returns the state of the mesh. A daemon that is no relay asks one, unless forwarded is
// set.
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
	if unreachable := nd.Board.Unreachable.Get(); unreachable != nil {
		for dm := range *unreachable {
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
	if tu := nd.Board.TenantUse.Get(); tu != nil {
		for _, us := range tu.Uses[:min(maxListedTenants, len(tu.Uses))] {
			ts := &wirepb.TenantStatus{
				Tenant: us.Tenant, Rate: us.Limit.Rate, Burst: us.Limit.Burst, Demand: us.Demand, Admit: us.Admit,
				Reporting: uint32(tu.Reporting), Outlets: uint32(tu.Outlets),
			}
			if us.ByRank != nil {
				ts.AdmitByRank = us.ByRank[:]
			}
			res.Tenants = append(res.Tenants, ts)
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

// outgoing returns the addresses of the links opened by this daemon.
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
