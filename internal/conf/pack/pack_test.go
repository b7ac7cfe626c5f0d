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

// TestDelta: the delta between any two contents, sent over the wire, leads from
// the one to the other, and from no third content to anything.
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
		whole, err := Unmarshal(Marshal(Diff(nil, b)))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Apply(nil, whole); err != nil || got.Digest != b.Digest {
			t.Fatalf("whole: %v, %v", got, err)
		}
	})
}

// TestDamage: an encoded delta is damaged or cut short at any place. It is an
// error, or the damage is such that the content comes out right all the same;
// never does another content come out.
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
			t.Fatalf("another content came out (-want +got):\n%s", diff)
		}
	})
}

// TestWrongContent: a delta that decodes well, and whose content is not the one
// that it names, is refused: the checksum of the transfer does not see that.
func TestWrongContent(t *testing.T) {
	a := New([]Resource{{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte("1")}})
	b := New([]Resource{{Key: Key{Kind: KindVM, Name: "a"}, Body: []byte("2")}})
	dt := Diff(a, b)
	dt.Set[0].Body = []byte("3")
	var me *MismatchError
	if co, err := Apply(a, dt); !errors.As(err, &me) {
		t.Errorf("a wrong content was taken: %v, %v", co, err)
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
			t.Error("a content with a wrong digest")
		}
	})
}

// TestUnknownField: a newer release's field is not dropped in silence, since a
// version is taken whole or not at all.
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

// TestSizes bounds the bytes of a whole content and of one changed rule at the
// target size.
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
	whole, delta := len(Marshal(Diff(nil, a))), len(Marshal(Diff(a, b)))
	t.Logf("whole %d B, one rule %d B", whole, delta)
	if whole > 5_200 || delta > 290 {
		t.Errorf("whole %d B, bound 5200; one rule %d B, bound 290", whole, delta)
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
