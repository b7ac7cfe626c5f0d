package pack

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/sample"
)

func drawContent(t *rapid.T, label string) *Content {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-d]{1,2}`), 0, 8, rapid.ID).Draw(t, label)
	var res []Resource
	for _, n := range names {
		kind := rapid.SampledFrom([]Kind{KindService, KindVM, KindRoute}).Draw(t, "kind")
		res = append(res, Resource{Key: Key{Kind: kind, Name: n}, Body: []byte(rapid.StringMatching(`[xy]{0,2}`).Draw(t, "body"))})
	}
	return New(res)
}

// TestDelta: the delta between any two contents, encoded and decoded, must turn the first into the
// second, and must be rejected for any other base.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawContent(t, "a"), drawContent(t, "b"), drawContent(t, "c")
		dt, err := Unmarshal(Marshal(Diff(a, b)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, dt)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(b, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
		var me *MismatchError
		if got, err := Apply(c, dt); c.Digest != a.Digest && !errors.As(err, &me) {
			t.Fatalf("applied to another base: %v, %v", got, err)
		}
		full, err := Unmarshal(Marshal(Diff(nil, b)))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Apply(nil, full); err != nil || got.Digest != b.Digest {
			t.Fatalf("whole: %v, %v", got, err)
		}
	})
}

// TestDamage: an encoded delta that is corrupted or truncated at any position must give an error or
// the right content, never another one.
func TestDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawContent(t, "a"), drawContent(t, "b")
		body := Marshal(Diff(a, b))
		i := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			body = body[:i]
		} else {
			body[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		dt, err := Unmarshal(body)
		if err != nil {
			return
		}
		got, err := Apply(a, dt)
		if err != nil || dt.Digest != b.Digest {
			return
		}
		if diff := cmp.Diff(b, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("corrupted delta gave another content (-want +got):\n%s", diff)
		}
	})
}

// TestWrongContent: a delta that can be decoded but does not give the content of its digest must be
// rejected. The checksum of the transfer does not detect that.
func TestWrongContent(t *testing.T) {
	a := New([]Resource{{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte("1")}})
	b := New([]Resource{{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte("2")}})
	dt := Diff(a, b)
	dt.Set[0].Body = []byte("3")
	var me *MismatchError
	if co, err := Apply(a, dt); !errors.As(err, &me) {
		t.Errorf("wrong content accepted: %v, %v", co, err)
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(Marshal(Diff(nil, New([]Resource{{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte("{}")}}))))
	f.Fuzz(func(t *testing.T, data []byte) {
		dt, err := Unmarshal(data)
		if err != nil {
			return
		}
		if co, err := Apply(nil, dt); err == nil && co.Digest != computeDigest(co.Resources) {
			t.Error("content with a wrong digest")
		}
	})
}

// TestUnknownField: a kind or field of a newer release must be an error and not be ignored, since a
// version is applied entirely or not at all.
func TestUnknownField(t *testing.T) {
	for _, rs := range []Resource{
		{Key: Key{Kind: KindService, Name: "a"}, Body: []byte(`{"name":"a","port":1,"slots":1,"mirror":"b"}`)},
		{Key: Key{Kind: "mirror", Name: "a"}, Body: []byte(`{}`)},
		{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte(`{"name":`)},
	} {
		if ms, err := Decode(New([]Resource{rs})); err == nil {
			t.Errorf("%s %s decoded as %+v", rs.Key, rs.Body, ms)
		}
	}
}

func ExampleDiff() {
	old, _ := Encode(&decl.Mesh{Regions: []decl.Region{{Name: "r"}}, VMs: []decl.VM{{Name: "a"}}})
	next, _ := Encode(&decl.Mesh{Regions: []decl.Region{{Name: "r"}}, VMs: []decl.VM{{Name: "b"}}})
	for _, ky := range Diff(old, next).Keys() {
		fmt.Println(ky)
	}
	// Output:
	// vm/a
	// vm/b
}

// TestSizes limits the encoded size of a full content, and of a delta that changes one route, at
// the target scale of 790 VMs in 5 failure domains with 73 services.
func TestSizes(t *testing.T) {
	ms := sample.Mesh(790, 5, 73)
	a, err := Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	ms.Routes[7].Deadline = 1_000_000
	b, err := Encode(ms)
	if err != nil {
		t.Fatal(err)
	}
	full, delta := len(Marshal(Diff(nil, a))), len(Marshal(Diff(a, b)))
	t.Logf("full content %d B, one changed route %d B", full, delta)
	if full > 5_200 || delta > 290 {
		t.Errorf("full content %d B, want at most 5200; one changed route %d B, want at most 290", full, delta)
	}
}

func BenchmarkDelta(b *testing.B) {
	ms := sample.Mesh(790, 5, 73)
	old, _ := Encode(ms)
	ms.Routes[7].Deadline = 1_000_000
	next, _ := Encode(ms)
	b.Run("diff-and-marshal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Marshal(Diff(old, next))
		}
	})
	body := Marshal(Diff(old, next))
	b.Run("unmarshal-and-apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			dt, err := Unmarshal(body)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Apply(old, dt); err != nil {
				b.Fatal(err)
			}
		}
	})
}
