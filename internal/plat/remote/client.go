package remote

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/plat/kvpb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// CallTimeout bounds each call but a watch, which has its own wait besides.
const CallTimeout = 3 * time.Second

// Client calls a key-value service at one address.
type Client struct {
	kv kvpb.KeyValueClient
}

// New returns a client of the service at addr (host:port).
func New(addr string) *Client {
	hc := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
	return &Client{kv: kvpb.NewKeyValueClient(hc, "http://"+addr)}
}

// Store returns the functions of the platform's interface.
func (cl *Client) Store() store.Store {
	return store.Store{Get: cl.get, List: cl.list, Swap: cl.swap, Watch: cl.watch, Grant: cl.grant, Renew: cl.renew, Revoke: cl.revoke}
}

// fault maps an error to a *store.Error. A write whose answer did not come is
// unknown; only an answer of the service itself tells that it had no effect.
func fault(op, key string, write bool, err error) error {
	er := &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	var ce *connect.Error
	if errors.As(err, &ce) && connect.IsWireError(err) {
		er.Kind = kindOf(ce.Code())
		return er
	}
	var oe *net.OpError
	dialed := !errors.As(err, &oe) || oe.Op != "dial"
	if write && dialed {
		er.Kind = store.Unknown
	}
	return er
}

func call[Req, Res any](ctx context.Context, op, key string, write bool, timeout time.Duration, req *Req,
	fn func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := fn(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fault(op, key, write, err)
	}
	return res.Msg, nil
}

func entryOf(pb *kvpb.Entry) store.Entry {
	return store.Entry{Value: pb.GetValue(), Revision: store.Revision(pb.GetRevision())}
}

func (cl *Client) get(ctx context.Context, key string) (store.Entry, error) {
	res, err := call(ctx, "get", key, false, CallTimeout, &kvpb.GetRequest{Key: key}, cl.kv.Get)
	if err != nil {
		return store.Entry{}, err
	}
	return entryOf(res.Entry), nil
}

func (cl *Client) list(ctx context.Context, prefix string) ([]store.Item, error) {
	res, err := call(ctx, "list", prefix, false, CallTimeout, &kvpb.ListRequest{Prefix: prefix}, cl.kv.List)
	if err != nil {
		return nil, err
	}
	var items []store.Item
	for _, it := range res.Items {
		items = append(items, store.Item{Key: it.Key, Entry: entryOf(it.Entry)})
	}
	return items, nil
}

func (cl *Client) swap(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
	req := &kvpb.SwapRequest{Key: ch.Key, Revision: int64(ch.Revision), Value: ch.Value, Remove: ch.Remove, Lease: int64(ch.Lease)}
	res, err := call(ctx, "swap", ch.Key, true, CallTimeout, req, cl.kv.Swap)
	if err != nil {
		return false, store.Entry{}, err
	}
	return res.Swapped, entryOf(res.Current), nil
}

func (cl *Client) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	req := &kvpb.WatchRequest{Key: key, After: int64(after), WaitMs: wait.Milliseconds()}
	res, err := call(ctx, "watch", key, false, wait+CallTimeout, req, cl.kv.Watch)
	if err != nil {
		return store.Entry{}, err
	}
	return entryOf(res.Entry), nil
}

func (cl *Client) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	res, err := call(ctx, "grant", "", true, CallTimeout, &kvpb.GrantRequest{TtlMs: ttl.Milliseconds()}, cl.kv.Grant)
	if err != nil {
		return 0, err
	}
	return store.LeaseID(res.Lease), nil
}

func (cl *Client) renew(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, "renew", "", true, CallTimeout, &kvpb.RenewRequest{Lease: int64(id)}, cl.kv.Renew)
	return err
}

func (cl *Client) revoke(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, "revoke", "", true, CallTimeout, &kvpb.RevokeRequest{Lease: int64(id)}, cl.kv.Revoke)
	return err
}
