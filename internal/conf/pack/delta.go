package pack

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/flamingomast/flamingomast/internal/mesh/wirepb"
)

// Delta holds the changes from one content to another.
type Delta struct {
	// Base is the digest of the content it applies to, zero if it holds a full content.
	Base Digest
	// Digest is the digest of the resulting content.
	Digest  Digest
	Set     []Resource
	Removed []Key
}

// Diff returns the delta from base to next. With a nil base it holds all of next.
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

// compareAt compares the keys at i and j; the end of a list sorts last.
func compareAt(a []Resource, i int, b []Resource, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	}
	return a[i].Key.Compare(b[j].Key)
}

// Keys returns the sorted keys of the resources that the delta changes.
func (dt *Delta) Keys() []Key {
	kys := slices.Clone(dt.Removed)
	for _, rs := range dt.Set {
		kys = append(kys, rs.Key)
	}
	slices.SortFunc(kys, Key.Compare)
	return kys
}

// MismatchError reports that a digest is not the expected one: a delta was corrupted, or applied to
// another content than its base.
type MismatchError struct {
	Want, Got Digest
}

// Error returns both digests.
func (er *MismatchError) Error() string {
	return fmt.Sprintf("pack: digest mismatch: got %s, want %s", er.Got, er.Want)
}

// Apply returns the content that results from applying dt to base. It verifies the digest of the
// result, so corruption in transit or a wrong base gives a MismatchError and never a wrong content.
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

// ApplyEncoded decodes a delta, applies it to base and returns the result, whose digest must be
// want. A corrupted delta, one for another base or one with another result is an error. base is
// not modified.
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

// merge applies the changes of dt to the resources old. The result is not sorted.
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

// MaxDecompressedSize is the maximum size in bytes of a decompressed delta.
const MaxDecompressedSize = 16 << 20

// windowSize limits the memory of the encoder and decoder; contents are far below a megabyte.
const windowSize = 128 << 10

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize), zstd.WithSingleSegment(false)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDecompressedSize)))
)

// The encoder creates its channels on first use. Using it here keeps them from being created in,
// and tied to, the synctest bubble of a test.
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

// Compress compresses raw. One encoder serves the whole process: an encoder for each stream would
// take more memory than everything else.
func Compress(raw []byte) []byte { return encoder.EncodeAll(raw, nil) }

// Decompress reverses Compress. A result of more than MaxDecompressedSize bytes is an error.
func Decompress(body []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("pack: decompressing: %w", err)
	}
	return raw, nil
}

// Unmarshal decodes the output of Marshal.
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
	if dt.Base, err = digestFromBytes(pb.Base, true); err != nil {
		return nil, err
	}
	if dt.Digest, err = digestFromBytes(pb.Digest, false); err != nil {
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

func digestFromBytes(b []byte, allowEmpty bool) (Digest, error) {
	if len(b) == 0 && allowEmpty {
		return Digest{}, nil
	}
	if len(b) != len(Digest{}) {
		return Digest{}, fmt.Errorf("pack: digest has %d bytes, want 32", len(b))
	}
	return Digest(b), nil
}
