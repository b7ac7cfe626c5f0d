package pack

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// Delta leads from one content to another.
type Delta struct {
	// Base is the digest of the content it starts from, zero for a whole one.
	Base Digest
	// Digest is that of the content it leads to.
	Digest  Digest
	Set     []Resource
	Removed []Key
}

// Diff returns the delta from base to next; a nil base gives all of next.
func Diff(base, next *Content) *Delta {
	if base == nil {
		return &Delta{Digest: next.Digest, Set: next.Resources}
	}
	dt := &Delta{Base: base.Digest, Digest: next.Digest}
	i, j := 0, 0
	for i < len(base.Resources) || j < len(next.Resources) {
		switch c := compareAt(base.Resources, i, next.Resources, j); {
		case c < 0:
			dt.Removed = append(dt.Removed, base.Resources[i].Key)
			i++
		case c > 0:
			dt.Set = append(dt.Set, next.Resources[j])
			j++
		default:
			if !bytes.Equal(base.Resources[i].Body, next.Resources[j].Body) {
				dt.Set = append(dt.Set, next.Resources[j])
			}
			i, j = i+1, j+1
		}
	}
	return dt
}

// compareAt compares the keys at i and j; the end of a list is the highest.
func compareAt(a []Resource, i int, b []Resource, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	}
	return a[i].Key.Compare(b[j].Key)
}

// Keys returns the keys that the delta changes, sorted.
func (dt *Delta) Keys() []Key {
	kys := slices.Clone(dt.Removed)
	for _, rs := range dt.Set {
		kys = append(kys, rs.Key)
	}
	slices.SortFunc(kys, Key.Compare)
	return kys
}

// MismatchError says that a delta does not lead where it should: it was
// damaged, or applied to another content than its base.
type MismatchError struct {
	Want, Got Digest
}

// Error names both digests.
func (er *MismatchError) Error() string {
	return fmt.Sprintf("pack: digest %s where %s was expected", er.Got, er.Want)
}

// Apply returns the content that dt leads to from base. The result is compared
// with the digest it must have, so damage in transit or a wrong base shows as
// a MismatchError and never as a wrong content.
func Apply(base *Content, dt *Delta) (*Content, error) {
	var old []Resource
	if !dt.Base.IsZero() {
		if base == nil || base.Digest != dt.Base {
			return nil, &MismatchError{Want: dt.Base}
		}
		old = base.Resources
	}
	next := New(merge(old, dt))
	if next.Digest != dt.Digest {
		return nil, &MismatchError{Want: dt.Digest, Got: next.Digest}
	}
	return next, nil
}

// ApplyEncoded returns the content want that an encoded delta leads to from base. A
// damaged delta, one for another base, or one that leads elsewhere is an error,
// and base stays as it is.
func ApplyEncoded(base *Content, body []byte, want Digest) (*Content, error) {
	dt, err := Unmarshal(body)
	if err != nil {
		return nil, err
	}
	co, err := Apply(base, dt)
	if err != nil {
		return nil, err
	}
	if co.Digest != want {
		return nil, &MismatchError{Want: want, Got: co.Digest}
	}
	return co, nil
}

// merge returns the resources of old with those of dt set and removed.
func merge(old []Resource, dt *Delta) []Resource {
	changed := make(map[Key]bool, len(dt.Set)+len(dt.Removed))
	for _, ky := range dt.Removed {
		changed[ky] = true
	}
	res := make([]Resource, 0, len(old)+len(dt.Set))
	for _, rs := range dt.Set {
		if !changed[rs.Key] {
			changed[rs.Key] = true
			res = append(res, rs)
		}
	}
	for _, rs := range old {
		if !changed[rs.Key] {
			res = append(res, rs)
		}
	}
	return res
}

// MaxDecoded is the size in bytes above which a decompressed delta is refused.
const MaxDecoded = 16 << 20

// window bounds the memory of the coders; contents are far below a megabyte.
const window = 128 << 10

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window), zstd.WithSingleSegment(false)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDecoded)))
)

// The encoder makes its channels at first use. They are made here, so that no
// test with its own clock owns them.
var _ = encoder.EncodeAll(nil, nil)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the compressed encoding of a delta.
func Marshal(dt *Delta) []byte {
	pb := &wirepb.Delta{Base: dt.Base[:], Digest: dt.Digest[:]}
	if dt.Base.IsZero() {
		pb.Base = nil
	}
	for _, rs := range dt.Set {
		pb.Set = append(pb.Set, &wirepb.Resource{Kind: string(rs.Key.Kind), Name: rs.Key.Name, Body: rs.Body})
	}
	for _, ky := range dt.Removed {
		pb.Removed = append(pb.Removed, ky.String())
	}
	return Compress(must(proto.MarshalOptions{Deterministic: true}.Marshal(pb)))
}

// Compress returns raw compressed. One coder serves the whole process: coders
// of their own for each stream would take more memory than all else.
func Compress(raw []byte) []byte { return encoder.EncodeAll(raw, nil) }

// Decompress returns what Compress was given, of at most MaxDecoded bytes.
func Decompress(body []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("pack: decompressing: %w", err)
	}
	return raw, nil
}

// Unmarshal reads what Marshal returns.
func Unmarshal(body []byte) (*Delta, error) {
	raw, err := Decompress(body)
	if err != nil {
		return nil, err
	}
	var pb wirepb.Delta
	if err := proto.Unmarshal(raw, &pb); err != nil {
		return nil, fmt.Errorf("pack: decoding: %w", err)
	}
	dt := &Delta{}
	if dt.Base, err = digestOf(pb.Base, true); err != nil {
		return nil, err
	}
	if dt.Digest, err = digestOf(pb.Digest, false); err != nil {
		return nil, err
	}
	for _, rs := range pb.Set {
		dt.Set = append(dt.Set, Resource{Key: Key{Kind: Kind(rs.Kind), Name: rs.Name}, Body: rs.Body})
	}
	for _, s := range pb.Removed {
		dt.Removed = append(dt.Removed, parseKey(s))
	}
	return dt, nil
}

func digestOf(b []byte, mayBeEmpty bool) (Digest, error) {
	if len(b) == 0 && mayBeEmpty {
		return Digest{}, nil
	}
	if len(b) != len(Digest{}) {
		return Digest{}, fmt.Errorf("pack: a digest of %d bytes", len(b))
	}
	return Digest(b), nil
}
