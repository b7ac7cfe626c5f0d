package accept

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/pack"
	"github.com/flamingomast/flamingomast/internal/plat/fakekv"
	"github.com/flamingomast/flamingomast/internal/plat/store"
)

// meshContent encodes a mesh of services whose slots are given by name.
func meshContent(t interface{ Fatal(...any) }, slots map[string]int) *pack.Content {
	ms := &decl.Mesh{}
	for name, n := range slots {
		ms.Services = append(ms.Services, decl.Service{Name: name, Port: 1, Slots: n})
	}
	co, err := pack.Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	return co
}

func submit(t *testing.T, kv store.Store, sub Submission) Result {
	t.Helper()
	res, err := Submit(t.Context(), kv, sub)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestSubmit(t *testing.T) {
	kv := fakekv.New().Store()
	one := meshContent(t, map[string]int{"booking": 1})
	two := meshContent(t, map[string]int{"booking": 2, "portal": 1})
	for _, tc := range []struct {
		name string
		sub  Submission
		want Status
		ver  uint64
	}{
		{"first", Submission{ID: "a", Content: one}, Accepted, 1},
		{"same ID again", Submission{ID: "a", Content: one}, AlreadyAccepted, 1},
		{"no change", Submission{ID: "b", Base: 1, Content: one}, Unchanged, 1},
		{"second", Submission{ID: "c", Base: 1, Content: two}, Accepted, 2},
		{"first ID after a later version", Submission{ID: "a", Content: one}, AlreadyAccepted, 1},
		{"a revert is a new version", Submission{ID: "d", Base: 2, Content: one}, Accepted, 3},
	} {
		res := submit(t, kv, tc.sub)
		if res.Status != tc.want || res.Entry.Version != tc.ver {
			t.Errorf("%s: %s as version %d, want %s as %d", tc.name, res.Status, res.Entry.Version, tc.want, tc.ver)
		}
	}
	hd, _, err := Load(t.Context(), kv)
	if err != nil {
		t.Fatal(err)
	}
	for v, want := range map[uint64]*pack.Content{1: one, 2: two, 3: one} {
		en, err := Find(t.Context(), kv, hd, v)
		if err != nil {
			t.Fatal(err)
		}
		if co, err := Content(t.Context(), kv, en); err != nil || co.Digest != want.Digest {
			t.Errorf("content of version %d: %v, %v", v, co, err)
		}
	}
}

// TestOperatorsRace: two operators start from version 1. Changes to different services are
// merged. If both change the same service in different ways, the second submission is rejected
// with the name of the other author, and nothing of it is applied.
func TestOperatorsRace(t *testing.T) {
	base := map[string]int{"booking": 1, "portal": 1}
	for _, tc := range []struct {
		name     string
		mine     map[string]int
		conflict string
		want     map[string]int
	}{
		{"disjoint", map[string]int{"booking": 1, "portal": 5}, "", map[string]int{"booking": 9, "portal": 5}},
		{"added", map[string]int{"booking": 1, "portal": 1, "x": 1}, "", map[string]int{"booking": 9, "portal": 1, "x": 1}},
		{"removed", map[string]int{"booking": 1}, "", map[string]int{"booking": 9}},
		{"same resource", map[string]int{"booking": 3, "portal": 1}, "service/booking", nil},
		{"same change", map[string]int{"booking": 9, "portal": 1}, "", map[string]int{"booking": 9, "portal": 1}},
		{"removed what the other changed", map[string]int{"portal": 1}, "service/booking", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			kv := fakekv.New().Store()
			submit(t, kv, Submission{ID: "0", Content: meshContent(t, base)})
			submit(t, kv, Submission{ID: "theirs", Base: 1, Author: "ana", Content: meshContent(t, map[string]int{"booking": 9, "portal": 1})})
			res, err := Submit(t.Context(), kv, Submission{ID: "mine", Base: 1, Content: meshContent(t, tc.mine)})
			if tc.conflict != "" {
				var ce *ConflictError
				if !errors.As(err, &ce) || ce.Keys[0].String() != tc.conflict || ce.Theirs.Author != "ana" {
					t.Fatalf("error %v, want a conflict on %s", err, tc.conflict)
				}
				if hd, _, _ := Load(t.Context(), kv); hd.Last.Version != 2 {
					t.Errorf("version %d after a conflict", hd.Last.Version)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if want := meshContent(t, tc.want).Digest.String(); res.Entry.Digest != want {
				t.Errorf("digest %s, want %s", res.Entry.Digest, want)
			}
		})
	}
}

// TestRebaseIsChecked: one operator removes a service while another adds a route to it. Each
// change is valid by itself; merged they would leave a dangling route, so the second submission
// is rejected.
func TestRebaseIsChecked(t *testing.T) {
	kv := fakekv.New().Store()
	sv := []decl.Service{{Name: "booking", Port: 1, Slots: 1}, {Name: "portal", Port: 1, Slots: 1}}
	enc := func(ms *decl.Mesh) *pack.Content {
		co, err := pack.Encode(ms)
		if err != nil {
			t.Fatal(err)
		}
		return co
	}
	submit(t, kv, Submission{ID: "0", Content: enc(&decl.Mesh{Services: sv})})
	submit(t, kv, Submission{ID: "1", Base: 1, Content: enc(&decl.Mesh{Services: sv[:1]})})
	rt := decl.Route{Name: "r", Match: decl.Match{Host: "h"}, To: []decl.Target{{Service: "portal", Weight: 1}}}
	_, err := Submit(t.Context(), kv, Submission{ID: "2", Base: 1, Content: enc(&decl.Mesh{Services: sv, Routes: []decl.Route{rt}})})
	var ce *CheckError
	if !errors.As(err, &ce) {
		t.Fatalf("error %v, want a CheckError", err)
	}
}

// TestLostAnswers: the first 0 to 5 writes of a submission take effect, but their responses are
// lost. The submission must be accepted exactly once.
func TestLostAnswers(t *testing.T) {
	for lost := range 6 {
		synctest.Test(t, func(t *testing.T) {
			st := fakekv.New()
			submit(t, st.Store(), Submission{ID: "0", Content: meshContent(t, map[string]int{"booking": 1})})
			st.SetFaults(fakekv.Faults{LoseResponses: lost})
			res := submit(t, st.Store(), Submission{ID: "1", Base: 1, Content: meshContent(t, map[string]int{"booking": 2})})
			if res.Entry.Version != 2 {
				t.Errorf("%d responses lost: version %d, want 2", lost, res.Entry.Version)
			}
		})
	}
}

// TestUnknownOutcome: the platform commits the submission, its response is lost, and it goes
// down. Submit returns an UnknownError, and submitting the same ID again later finds the version,
// although another one followed it.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakekv.New()
		kv := st.Store()
		swap := kv.Swap
		kv.Swap = func(ctx context.Context, ch store.Change) (bool, store.Entry, error) {
			ok, cur, err := swap(ctx, ch)
			if ch.Key == HeadKey {
				st.SetFaults(fakekv.Faults{Down: true})
				return false, store.Entry{}, &store.Error{Kind: store.Unknown, Op: "swap"}
			}
			return ok, cur, err
		}
		sub := Submission{ID: "x", Content: meshContent(t, map[string]int{"booking": 1})}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := Submit(ctx, kv, sub)
		var ue *UnknownError
		if !errors.As(err, &ue) || ue.ID != "x" {
			t.Fatalf("error %v, want an UnknownError", err)
		}
		st.SetFaults(fakekv.Faults{})
		submit(t, st.Store(), Submission{ID: "y", Base: 1, Content: meshContent(t, map[string]int{"booking": 2})})
		if res := submit(t, st.Store(), sub); res.Status != AlreadyAccepted || res.Entry.Version != 1 {
			t.Errorf("submitted again: %s as version %d", res.Status, res.Entry.Version)
		}
	})
}

// TestRaceProperty: operators submit concurrently, each changing a different service, while
// responses are lost and the platform is slow or down. Every submission must be accepted exactly
// once, versions must have no gaps, and the last one must contain all changes.
func TestRaceProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operators := rapid.IntRange(2, 6).Draw(rt, "operators")
		var faults []fakekv.Faults
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			faults = append(faults, fakekv.Faults{
				Down: rapid.Bool().Draw(rt, "down"), LoseResponses: rapid.IntRange(0, 3).Draw(rt, "lost"),
				Delay: time.Duration(rapid.IntRange(0, 300).Draw(rt, "delay")) * time.Millisecond,
			})
		}
		synctest.Test(t, func(t *testing.T) { runRace(t, operators, faults) })
	})
}

func runRace(t *testing.T, operators int, faults []fakekv.Faults) {
	st := fakekv.New()
	slots := map[string]int{}
	for i := range operators {
		slots[fmt.Sprint("s", i)] = 1
	}
	submit(t, st.Store(), Submission{ID: "0", Content: meshContent(t, slots)})
	var wg conc.WaitGroup
	for i := range operators {
		mine := map[string]int{}
		for name, n := range slots {
			mine[name] = n
		}
		mine[fmt.Sprint("s", i)] = 100 + i
		co := meshContent(t, mine)
		wg.Go(func() {
			if _, err := Submit(t.Context(), st.Store(), Submission{ID: fmt.Sprint("op", i), Base: 1, Content: co}); err != nil {
				t.Errorf("operator %d: %v", i, err)
			}
		})
	}
	for _, fa := range faults {
		time.Sleep(100 * time.Millisecond)
		st.SetFaults(fa)
	}
	time.Sleep(100 * time.Millisecond)
	st.SetFaults(fakekv.Faults{})
	wg.Wait()

	hd, _, err := Load(t.Context(), st.Store())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for v := range uint64(operators + 1) {
		en, err := Find(t.Context(), st.Store(), hd, v+1)
		if err != nil {
			t.Fatalf("version %d: %v", v+1, err)
		}
		ids = append(ids, en.Submission)
	}
	slices.Sort(ids)
	if hd.Last.Version != uint64(operators+1) || len(slices.Compact(ids)) != operators+1 {
		t.Fatalf("%d versions of %d submissions: %v", hd.Last.Version, operators+1, ids)
	}
	for i := range operators {
		slots[fmt.Sprint("s", i)] = 100 + i
	}
	if want := meshContent(t, slots).Digest.String(); hd.Last.Digest != want {
		t.Errorf("the last version does not contain all changes")
	}
}

// TestContentRetention: the platform's store keeps the contents of the newest RetainedContents
// versions only.
func TestContentRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New().Store()
		for v := range uint64(RetainedContents + 3) {
			submit(t, kv, Submission{ID: fmt.Sprint(v), Base: v, Content: meshContent(t, map[string]int{"booking": int(v) + 1})})
			time.Sleep(time.Second)
		}
		hd, _, err := Load(t.Context(), kv)
		if err != nil {
			t.Fatal(err)
		}
		for v, kept := range map[uint64]bool{1: false, 3: false, 4: true, RetainedContents + 3: true} {
			en, err := Find(t.Context(), kv, hd, v)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Content(t.Context(), kv, en); (err == nil) != kept {
				t.Errorf("content of version %d: %v, want kept %t", v, err, kept)
			}
		}
	})
}
