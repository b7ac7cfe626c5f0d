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
	"github.com/flamingomast/flamingomast/internal/plat/intact"
	"github.com/flamingomast/flamingomast/internal/plat/kvpb"
	"github.com/flamingomast/flamingomast/internal/plat/stall"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// CallTimeout is how long a call may go without progress. A watch may take its wait time
// in addition.
const CallTimeout = 3 * time.Second

// maxMessage bounds the size of a response in bytes, well above that of the largest listing.
const maxMessage = 16 << 20

// Client calls a key-value service at one address.
type Client struct {
	kv kvpb.KeyValueClient
	// epoch is the highest epoch seen in a response.
	epoch atomic.Int64
}

// New returns a client for the service at addr (host:port).
func New(addr string) *Client {
	return newClient(addr, (&net.Dialer{Timeout: time.Second}).DialContext)
}

func newClient(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	hc := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return intact.New(nc), nil
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
	do := func(req *http.Request) (*http.Response, error) { return dialer.DoSkipStale(hc, req) }
	return &Client{kv: kvpb.NewKeyValueClient(&stall.Client{HTTP: do, Timeout: CallTimeout, MaxBody: maxMessage}, "http://"+addr)}
}

// Store returns the client as a store.Store.
func (cl *Client) Store() store.Store {
	return store.Store{
		Get: cl.get, List: cl.list, Swap: cl.swap, Watch: cl.watch, WatchAll: cl.watchAll, Grant: cl.grant, Renew: cl.renew, Revoke: cl.revoke,
		Epoch: func() store.Epoch { return store.Epoch(cl.epoch.Load()) },
	}
}

// observeEpoch records the epoch of a response.
func (cl *Client) observeEpoch(epoch int64) {
	for {
		old := cl.epoch.Load()
		if epoch <= old || cl.epoch.CompareAndSwap(old, epoch) {
			return
		}
	}
}

// storeError converts the error of a call to a *store.Error. A write without a response
// may have taken effect, unless no connection could be opened; only the error response of
// the service tells what became of it.
func storeError(op, key string, write bool, err error) error {
	er := &store.Error{Kind: store.Unavailable, Op: op, Key: key, Err: err}
	var ce *connect.Error
	if errors.As(err, &ce) && connect.IsWireError(err) {
		er.Kind = kindFromCode(ce.Code())
		return er
	}
	var oe *net.OpError
	connected := !errors.As(err, &oe) || oe.Op != "dial"
	if write && connected {
		er.Kind = store.Unknown
	}
	return er
}

func call[Req, Res any](ctx context.Context, op, key string, write bool, timeout time.Duration, req *Req,
	fn func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	res, err := fn(stall.WithHeadTimeout(ctx, timeout), connect.NewRequest(req))
	if err != nil {
		return nil, storeError(op, key, write, err)
	}
	return res.Msg, nil
}

// decodeEntry converts an entry of a response and records its epoch.
func (cl *Client) decodeEntry(pb *kvpb.Entry) store.Entry {
	cl.observeEpoch(pb.GetEpoch())
	return store.Entry{Value: pb.GetValue(), Revision: store.Revision{Epoch: store.Epoch(pb.GetEpoch()), Number: pb.GetRevision()}}
}

func (cl *Client) get(ctx context.Context, key string) (store.Entry, error) {
	res, err := call(ctx, "get", key, false, CallTimeout, &kvpb.GetRequest{Key: key}, cl.kv.Get)
	if err != nil {
		return store.Entry{}, err
	}
	return cl.decodeEntry(res.Entry), nil
}

func (cl *Client) list(ctx context.Context, prefix string) ([]store.Item, error) {
	res, err := call(ctx, "list", prefix, false, CallTimeout, &kvpb.ListRequest{Prefix: prefix}, cl.kv.List)
	if err != nil {
		return nil, err
	}
	cl.observeEpoch(res.Epoch)
	return cl.decodeItems(res.Items), nil
}

// decodeItems converts the items of a response.
func (cl *Client) decodeItems(list []*kvpb.Item) (items []store.Item) {
	for _, it := range list {
		items = append(items, store.Item{Key: it.Key, Entry: cl.decodeEntry(it.Entry)})
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
	return res.Swapped, cl.decodeEntry(res.Current), nil
}

func (cl *Client) watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Entry, error) {
	req := &kvpb.WatchRequest{Key: key, After: after.Number, Epoch: int64(after.Epoch), WaitMs: wait.Milliseconds()}
	res, err := call(ctx, "watch", key, false, wait+CallTimeout, req, cl.kv.Watch)
	if err != nil {
		return store.Entry{}, err
	}
	return cl.decodeEntry(res.Entry), nil
}

func (cl *Client) watchAll(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error) {
	req := &kvpb.WatchAllRequest{Prefix: prefix, After: after.Number, Epoch: int64(after.Epoch), WaitMs: wait.Milliseconds()}
	res, err := call(ctx, "watch", prefix, false, wait+CallTimeout, req, cl.kv.WatchAll)
	if err != nil {
		return store.Listing{}, err
	}
	cl.observeEpoch(res.Epoch)
	at := store.Revision{Epoch: store.Epoch(res.Epoch), Number: res.Revision}
	return store.Listing{Changed: res.Changed, Items: cl.decodeItems(res.Items), Revision: at}, nil
}

func (cl *Client) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	res, err := call(ctx, "grant", "", true, CallTimeout, &kvpb.GrantRequest{TtlMs: ttl.Milliseconds()}, cl.kv.Grant)
	if err != nil {
		return store.LeaseID{}, err
	}
	cl.observeEpoch(res.Epoch)
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
