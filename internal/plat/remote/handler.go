package remote

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/flamingomast/flamingomast/internal/plat/kvpb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// kinds maps each kind of error to its code on the wire.
var kinds = map[store.Kind]connect.Code{
	store.Unavailable:   connect.CodeUnavailable,
	store.Unknown:       connect.CodeUnknown,
	store.RateLimited:   connect.CodeResourceExhausted,
	store.TooLarge:      connect.CodeInvalidArgument,
	store.LeaseNotFound: connect.CodeNotFound,
}

func kindOf(code connect.Code) store.Kind {
	for kd, c := range kinds {
		if c == code {
			return kd
		}
	}
	return store.Unknown
}

func codeOf(err error) error {
	var er *store.Error
	if !errors.As(err, &er) {
		return connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewError(kinds[er.Kind], err)
}

// Handler serves kv; it returns the path to mount it at, and the handler.
func Handler(kv store.Store) (string, http.Handler) {
	return kvpb.NewKeyValueHandler(&server{kv: kv})
}

type server struct {
	kv store.Store
}

func entryPB(ent store.Entry) *kvpb.Entry {
	return &kvpb.Entry{Value: ent.Value, Revision: ent.Revision.Number, Epoch: int64(ent.Revision.Epoch)}
}

// revision reads a revision of a request.
func revision(epoch, number int64) store.Revision {
	return store.Revision{Epoch: store.Epoch(epoch), Number: number}
}

// leaseID reads a lease of a request.
func leaseID(epoch, number int64) store.LeaseID {
	return store.LeaseID{Epoch: store.Epoch(epoch), Number: number}
}

// Get serves store.Store.Get.
func (sr *server) Get(ctx context.Context, req *connect.Request[kvpb.GetRequest]) (*connect.Response[kvpb.GetResponse], error) {
	ent, err := sr.kv.Get(ctx, req.Msg.Key)
	if err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.GetResponse{Entry: entryPB(ent)}), nil
}

// List serves store.Store.List.
func (sr *server) List(ctx context.Context, req *connect.Request[kvpb.ListRequest]) (*connect.Response[kvpb.ListResponse], error) {
	items, err := sr.kv.List(ctx, req.Msg.Prefix)
	if err != nil {
		return nil, codeOf(err)
	}
	res := &kvpb.ListResponse{Epoch: int64(sr.kv.Epoch())}
	res.Items = itemsPB(items)
	return connect.NewResponse(res), nil
}

func itemsPB(items []store.Item) (list []*kvpb.Item) {
	for _, it := range items {
		list = append(list, &kvpb.Item{Key: it.Key, Entry: entryPB(it.Entry)})
	}
	return list
}

// WatchAll serves store.Store.WatchAll.
func (sr *server) WatchAll(ctx context.Context, req *connect.Request[kvpb.WatchAllRequest]) (*connect.Response[kvpb.WatchAllResponse], error) {
	ms := req.Msg
	li, err := sr.kv.WatchAll(ctx, ms.Prefix, revision(ms.Epoch, ms.After), time.Duration(ms.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.WatchAllResponse{
		Changed: li.Changed, Items: itemsPB(li.Items), Revision: li.Revision.Number, Epoch: int64(li.Revision.Epoch),
	}), nil
}

// Swap serves store.Store.Swap.
func (sr *server) Swap(ctx context.Context, req *connect.Request[kvpb.SwapRequest]) (*connect.Response[kvpb.SwapResponse], error) {
	ms := req.Msg
	ok, cur, err := sr.kv.Swap(ctx, store.Change{
		Key: ms.Key, Revision: revision(ms.Epoch, ms.Revision), Value: ms.Value, Remove: ms.Remove, Lease: leaseID(ms.LeaseEpoch, ms.Lease),
	})
	if err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.SwapResponse{Swapped: ok, Current: entryPB(cur)}), nil
}

// Watch serves store.Store.Watch.
func (sr *server) Watch(ctx context.Context, req *connect.Request[kvpb.WatchRequest]) (*connect.Response[kvpb.WatchResponse], error) {
	ms := req.Msg
	ent, err := sr.kv.Watch(ctx, ms.Key, revision(ms.Epoch, ms.After), time.Duration(ms.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.WatchResponse{Entry: entryPB(ent)}), nil
}

// Grant serves store.Store.Grant.
func (sr *server) Grant(ctx context.Context, req *connect.Request[kvpb.GrantRequest]) (*connect.Response[kvpb.GrantResponse], error) {
	id, err := sr.kv.Grant(ctx, time.Duration(req.Msg.TtlMs)*time.Millisecond)
	if err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.GrantResponse{Lease: id.Number, Epoch: int64(id.Epoch)}), nil
}

// Renew serves store.Store.Renew.
func (sr *server) Renew(ctx context.Context, req *connect.Request[kvpb.RenewRequest]) (*connect.Response[kvpb.RenewResponse], error) {
	if err := sr.kv.Renew(ctx, leaseID(req.Msg.Epoch, req.Msg.Lease)); err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.RenewResponse{}), nil
}

// Revoke serves store.Store.Revoke.
func (sr *server) Revoke(ctx context.Context, req *connect.Request[kvpb.RevokeRequest]) (*connect.Response[kvpb.RevokeResponse], error) {
	if err := sr.kv.Revoke(ctx, leaseID(req.Msg.Epoch, req.Msg.Lease)); err != nil {
		return nil, codeOf(err)
	}
	return connect.NewResponse(&kvpb.RevokeResponse{}), nil
}
