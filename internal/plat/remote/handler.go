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

// wireCodes maps error kinds to the status codes of the protocol.
var wireCodes = map[store.Kind]connect.Code{
	store.Unavailable:   connect.CodeUnavailable,
	store.Unknown:       connect.CodeUnknown,
	store.RateLimited:   connect.CodeResourceExhausted,
	store.TooLarge:      connect.CodeInvalidArgument,
	store.LeaseNotFound: connect.CodeNotFound,
}

func kindFromCode(code connect.Code) store.Kind {
	for kd, c := range wireCodes {
		if c == code {
			return kd
		}
	}
	return store.Unknown
}

func connectError(err error) error {
	var er *store.Error
	if !errors.As(err, &er) {
		return connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewError(wireCodes[er.Kind], err)
}

// Handler returns an HTTP handler that serves kv, and the path to mount it at.
func Handler(kv store.Store) (string, http.Handler) {
	return kvpb.NewKeyValueHandler(&server{kv: kv})
}

type server struct {
	kv store.Store
}

func encodeEntry(ent store.Entry) *kvpb.Entry {
	return &kvpb.Entry{Value: ent.Value, Revision: ent.Revision.Number, Epoch: int64(ent.Revision.Epoch)}
}

// decodeRevision converts the revision of a request.
func decodeRevision(epoch, number int64) store.Revision {
	return store.Revision{Epoch: store.Epoch(epoch), Number: number}
}

// decodeLeaseID converts the lease of a request.
func decodeLeaseID(epoch, number int64) store.LeaseID {
	return store.LeaseID{Epoch: store.Epoch(epoch), Number: number}
}

// Get implements kvpb.KeyValueHandler.
func (sr *server) Get(ctx context.Context, req *connect.Request[kvpb.GetRequest]) (*connect.Response[kvpb.GetResponse], error) {
	ent, err := sr.kv.Get(ctx, req.Msg.Key)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.GetResponse{Entry: encodeEntry(ent)}), nil
}

// List implements kvpb.KeyValueHandler.
func (sr *server) List(ctx context.Context, req *connect.Request[kvpb.ListRequest]) (*connect.Response[kvpb.ListResponse], error) {
	items, err := sr.kv.List(ctx, req.Msg.Prefix)
	if err != nil {
		return nil, connectError(err)
	}
	res := &kvpb.ListResponse{Epoch: int64(sr.kv.Epoch())}
	res.Items = encodeItems(items)
	return connect.NewResponse(res), nil
}

func encodeItems(items []store.Item) (list []*kvpb.Item) {
	for _, it := range items {
		list = append(list, &kvpb.Item{Key: it.Key, Entry: encodeEntry(it.Entry)})
	}
	return list
}

// WatchAll implements kvpb.KeyValueHandler.
func (sr *server) WatchAll(ctx context.Context, req *connect.Request[kvpb.WatchAllRequest]) (*connect.Response[kvpb.WatchAllResponse], error) {
	ms := req.Msg
	li, err := sr.kv.WatchAll(ctx, ms.Prefix, decodeRevision(ms.Epoch, ms.After), time.Duration(ms.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.WatchAllResponse{
		Changed: li.Changed, Items: encodeItems(li.Items), Revision: li.Revision.Number, Epoch: int64(li.Revision.Epoch),
	}), nil
}

// Swap implements kvpb.KeyValueHandler.
func (sr *server) Swap(ctx context.Context, req *connect.Request[kvpb.SwapRequest]) (*connect.Response[kvpb.SwapResponse], error) {
	ms := req.Msg
	ok, cur, err := sr.kv.Swap(ctx, store.Change{
		Key: ms.Key, Revision: decodeRevision(ms.Epoch, ms.Revision), Value: ms.Value, Remove: ms.Remove, Lease: decodeLeaseID(ms.LeaseEpoch, ms.Lease),
	})
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.SwapResponse{Swapped: ok, Current: encodeEntry(cur)}), nil
}

// Watch implements kvpb.KeyValueHandler.
func (sr *server) Watch(ctx context.Context, req *connect.Request[kvpb.WatchRequest]) (*connect.Response[kvpb.WatchResponse], error) {
	ms := req.Msg
	ent, err := sr.kv.Watch(ctx, ms.Key, decodeRevision(ms.Epoch, ms.After), time.Duration(ms.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.WatchResponse{Entry: encodeEntry(ent)}), nil
}

// Grant implements kvpb.KeyValueHandler.
func (sr *server) Grant(ctx context.Context, req *connect.Request[kvpb.GrantRequest]) (*connect.Response[kvpb.GrantResponse], error) {
	id, err := sr.kv.Grant(ctx, time.Duration(req.Msg.TtlMs)*time.Millisecond)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.GrantResponse{Lease: id.Number, Epoch: int64(id.Epoch)}), nil
}

// Renew implements kvpb.KeyValueHandler.
func (sr *server) Renew(ctx context.Context, req *connect.Request[kvpb.RenewRequest]) (*connect.Response[kvpb.RenewResponse], error) {
	if err := sr.kv.Renew(ctx, decodeLeaseID(req.Msg.Epoch, req.Msg.Lease)); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.RenewResponse{}), nil
}

// Revoke implements kvpb.KeyValueHandler.
func (sr *server) Revoke(ctx context.Context, req *connect.Request[kvpb.RevokeRequest]) (*connect.Response[kvpb.RevokeResponse], error) {
	if err := sr.kv.Revoke(ctx, decodeLeaseID(req.Msg.Epoch, req.Msg.Lease)); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&kvpb.RevokeResponse{}), nil
}
