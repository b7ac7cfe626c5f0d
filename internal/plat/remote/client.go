package remote

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/plat/dialer"
	"github.com/flamingomast/flamingomast/internal/plat/kvpb"
	"github.com/flamingomast/flamingomast/internal/plat/stall"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// CallTimeout bounds the time in which nothing moves in a call. A watch has its own wait
// besides.
const CallTimeout = 3 * time.Second

// Client calls a key-value service at one address.
type Client struct {
	kv kvpb.KeyValueClient
	// epoch is the newest one that an answer bore.
	epoch atomic.Int64
}

// New returns a client of the service at addr (host:port).
func New(addr string) *Client {
	return newClient(addr, (&net.Dialer{Timeout: time.Second}).DialContext)
}

func newClient(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	hc := &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
	do := func(req *http.Request) (*http.Response, error) { return dialer.DoSkipStale(hc, req) }
	return &Client{kv: kvpb.NewKeyValueClient(&stall.Client{HTTP: do, Timeout: CallTimeout}, "http://"+addr)}
}

// Store returns the functions of the platform's interface.
func (cl *Client) Store() store.Store {
	return store.Store{
		Get: cl.get, List: cl.list, Swap: cl.swap, Watch: cl.watch, WatchAll: cl.watchAll, Grant: cl.grant, Renew: cl.renew, Revoke: cl.revoke,
		Epoch: func() store.Epoch { return store.Epoch(cl.epoch.Load()) },
	}
}

// sawEpoch notes the epoch of an answer.
func (cl *Client) sawEpoch(epoch int64) {
	for {
		old := cl.epoch.Load()
		if epoch <= old || cl.epoch.CompareAndSwap(old, epoch) {
			return
		}
	}
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
	res, err := fn(stall.WithHeadTimeout(ctx, timeout), connect.NewRequest(req))
	if err != nil {
		return nil, fault(op, key, write, err)
	}
	return res.Msg, nil
}

// entryOf reads an entry of an answer.
func (cl *Client) entryOf(pb *kvpb.Entry) store.Entry {
	cl.sawEpoch(pb.GetEpoch())
	return store.Entry{Value: pb.GetValue(), Revision: store.Revision{Epoch: store.Epoch(pb.GetEpoch()), Number: pb.GetRevision()}}
}

func (cl *Client) get(ctx context.Context, key string) (store.Entry, error) {
	res, err := call(ctx, "get", key, false, CallTimeout, &kvpb.GetRequest{Key: key}, cl.kv.Get)
	if err != nil {
		return store.Entry{}, err
	}
	return cl.entryOf(res.Entry), nil
}

func (cl *Client) list(ctx context.Context, prefix string) ([]store.Item, error) {
	res, err := call(ctx, "list", prefix, false, CallTimeout, &kvpb.ListRequest{Prefix: prefix}, cl.kv.List)
	if err != nil {
		return nil, err
	}
	cl.sawEpoch(res.Epoch)
	return cl.itemsOf(res.Items), nil
}

// itemsOf reads the items of an answer.
func (cl *Client) itemsOf(list []*kvpb.Item) (items []store.Item) {
	for _, it := range list {
		items = append(items, store.Item{Key: it.Key, Entry: cl.entryOf(it.Entry)})
	}
	return items
}

func (cl *Client) swap(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
	req := &kvpb.SwapRequest{
		Key: ch.Key, Revision: ch.Revision.Number, Epoch: int64(ch.Revision.Epoch), Value: ch.Value, Remove: ch.Remove,
		Lease: ch.Lease.Number, LeaseEpoch: int64(ch.Lease.Epoch),
	}
	res, err := call(ctx, "swap", ch.Key, true, CallTimeout, req, cl.kv.Swap)
	if err != nil {
		return false, store.Entry{}, err
	}
	return res.Swapped, cl.entryOf(res.Current), nil
}

func (cl *Client) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	req := &kvpb.WatchRequest{Key: key, After: after.Number, Epoch: int64(after.Epoch), WaitMs: wait.Milliseconds()}
	res, err := call(ctx, "watch", key, false, wait+CallTimeout, req, cl.kv.Watch)
	if err != nil {
		return store.Entry{}, err
	}
	return cl.entryOf(res.Entry), nil
}

func (cl *Client) watchAll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	req := &kvpb.WatchAllRequest{Prefix: prefix, After: after.Number, Epoch: int64(after.Epoch), WaitMs: wait.Milliseconds()}
	res, err := call(ctx, "watch", prefix, false, wait+CallTimeout, req, cl.kv.WatchAll)
	if err != nil {
		return store.Listing{}, err
	}
	cl.sawEpoch(res.Epoch)
	at := store.Revision{Epoch: store.Epoch(res.Epoch), Number: res.Revision}
	return store.Listing{Changed: res.Changed, Items: cl.itemsOf(res.Items), Revision: at}, nil
}

func (cl *Client) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	res, err := call(ctx, "grant", "", true, CallTimeout, &kvpb.GrantRequest{TtlMs: ttl.Milliseconds()}, cl.kv.Grant)
	if err != nil {
		return store.LeaseID{}, err
	}
	cl.sawEpoch(res.Epoch)
	return store.LeaseID{Epoch: store.Epoch(res.Epoch), Number: res.Lease}, nil
}

func (cl *Client) renew(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, "renew", "", true, CallTimeout, &kvpb.RenewRequest{Lease: id.Number, Epoch: int64(id.Epoch)}, cl.kv.Renew)
	return err
}

func (cl *Client) revoke(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, "revoke", "", true, CallTimeout, &kvpb.RevokeRequest{Lease: id.Number, Epoch: int64(id.Epoch)}, cl.kv.Revoke)
	return err
}
