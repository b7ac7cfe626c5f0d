package ctrl

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/mesh/board"
	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

const (
	// fallbackKey is the store key with the newest version that a daemon held when it refused a newer
	// one.
	fallbackKey = "version-fallback"
	// fallbackSpread is the time over which daemons that hold a version look at the key. Those that
	// follow the store look at once, and usually leave nothing to write for the others.
	fallbackSpread = time.Second
	// minFallbackPoll and maxFallbackPoll bound the time between two looks, which doubles while nothing
	// changes. An intermediate version may be held by a few daemons only.
	minFallbackPoll = 2 * time.Second
	maxFallbackPoll = time.Minute
)

// runFallback keeps the last version in force while a newer one is refused. The platform's store has
// the newest version alone: without a copy, each daemon that restarts would hold no configuration until
// operators write another version.
func (nd *Node) runFallback(ctx context.Context) {
	poll := minFallbackPoll
	for ctx.Err() == nil {
		rf, changed := nd.Board.Refused.Watch()
		if rf == nil || rf.Version <= nd.Board.HeldVersion() {
			poll = minFallbackPoll
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if nd.Board.Held.Get() != nil && !nd.follows() && pause(ctx, rand.N(fallbackSpread)) != nil {
			return
		}
		if err := nd.syncFallback(ctx); err != nil {
			nd.log.Warn("version-fallback-not-kept", slog.Any("error", err))
			poll = minFallbackPoll
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(poll/2 + rand.N(poll)):
		}
		poll = min(2*poll, maxFallbackPoll)
	}
}

func (nd *Node) follows() bool {
	follows := nd.following.Get()
	return follows != nil && *follows
}

// syncFallback adopts the version under fallbackKey if it is newer than the held one, and replaces it
// if it is older.
func (nd *Node) syncFallback(ctx context.Context) error {
	ent, err := nd.cf.Store.Get(ctx, fallbackKey)
	for range maxSwapAttempts {
		if err != nil {
			return err
		}
		stored := nd.readFallback(ent)
		held := nd.Board.InForce.Get()
		switch {
		case stored != nil && (held == nil || stored.Version > held.Version):
			nd.adoptFallback(stored)
			return nil
		case held == nil || stored != nil && stored.Version == held.Version:
			return nil
		}
		body, err := encodeFallback(held)
		if err != nil {
			return err
		}
		ok, cur, err := nd.cf.Store.Swap(ctx, store.Change{Key: fallbackKey, Revision: ent.Revision, Value: body})
		if err != nil {
			return err
		}
		if ok {
			nd.log.Info("version-fallback-kept", slog.Uint64("version", held.Version))
			return nil
		}
		ent = cur
	}
	return &store.Error{Kind: store.Unavailable, Op: "swap", Key: fallbackKey}
}

// adoptFallback makes a stored version available to runCompiler. If no newer version is known, since
// the newest one cannot even be read, it is the newest one for all daemons.
func (nd *Node) adoptFallback(cfg *board.Config) {
	if cfg.Version > nd.Board.LatestVersion() {
		nd.adoptVersion(cfg.Version, cfg.Content)
		return
	}
	nd.Board.Fallback.Update(func(cur *board.Config) *board.Config {
		if cur != nil && cur.Version >= cfg.Version {
			return cur
		}
		return cfg
	})
}

// readFallback returns the version in an entry of fallbackKey, nil if there is none that can be read.
func (nd *Node) readFallback(ent store.Entry) *board.Config {
	if !ent.Revision.Exists() {
		return nil
	}
	var ms wirepb.FetchResponse
	err := proto.Unmarshal(ent.Value, &ms)
	if err == nil && len(ms.Digest) != len(pack.Digest{}) {
		err = &pack.MismatchError{}
	}
	var co *pack.Content
	if err == nil {
		co, err = pack.ApplyEncoded(nil, ms.Body, pack.Digest(ms.Digest))
	}
	if err != nil {
		nd.log.Error("version-fallback-unreadable", slog.Any("error", err))
		return nil
	}
	return &board.Config{Version: ms.Number, Content: co}
}

func encodeFallback(cfg *board.Config) ([]byte, error) {
	dg := cfg.Content.Digest
	return proto.Marshal(&wirepb.FetchResponse{Number: cfg.Version, Digest: dg[:], Body: pack.Marshal(pack.Diff(nil, cfg.Content))})
}
