package pack

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
)

// Kind is the kind of a resource.
type Kind string

// The kinds of resources, one for each list of decl.Mesh.
const (
	KindRegion    Kind = "region"
	KindDomain    Kind = "failure-domain"
	KindService   Kind = "service"
	KindVM        Kind = "vm"
	KindClass     Kind = "class"
	KindRoute     Kind = "route"
	KindPlacement Kind = "placement"
	KindLimits    Kind = "caller-limits"
	KindTenant    Kind = "tenant"
)

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind and name joined by a slash.
func (ky Key) String() string { return string(ky.Kind) + "/" + ky.Name }

func parseKey(s string) Key {
	kind, name, _ := strings.Cut(s, "/")
	return Key{Kind: Kind(kind), Name: name}
}

// Compare orders keys by kind, then by name.
func (ky Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(ky.Kind, other.Kind), cmp.Compare(ky.Name, other.Name))
}

// Resource is one declaration in its canonical encoding. Body is immutable.
type Resource struct {
	Key  Key
	Body []byte
}

// Digest is the SHA-256 digest of a content.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (dg Digest) String() string { return hex.EncodeToString(dg[:]) }

// IsZero reports whether the digest is unset.
func (dg Digest) IsZero() bool { return dg == Digest{} }

// ParseDigest parses the form that String returns.
func ParseDigest(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return Digest{}, fmt.Errorf("pack: %q is not a SHA-256 digest in hexadecimal", s)
	}
	return Digest(b), nil
}

// Content is a full configuration: resources sorted by key, and their digest. It is immutable, and
// contents share the bodies of equal resources.
type Content struct {
	Resources []Resource
	Digest    Digest
}

// New returns the content of the given resources. It sorts res in place.
func New(res []Resource) *Content {
	slices.SortFunc(res, func(a, b Resource) int { return a.Key.Compare(b.Key) })
	return &Content{Resources: res, Digest: computeDigest(res)}
}

func computeDigest(res []Resource) Digest {
	hs := sha256.New()
	var size [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		hs.Write(size[:])
		hs.Write(b)
	}
	for _, rs := range res {
		write([]byte(rs.Key.Kind))
		write([]byte(rs.Key.Name))
		write(rs.Body)
	}
	return Digest(hs.Sum(nil))
}

// Get returns the body of the resource with the key ky, or nil if there is none.
func (co *Content) Get(ky Key) []byte {
	i, ok := slices.BinarySearchFunc(co.Resources, ky, func(rs Resource, ky Key) int { return rs.Key.Compare(ky) })
	if !ok {
		return nil
	}
	return co.Resources[i].Body
}

// Encode encodes a mesh as a content.
func Encode(ms *decl.Mesh) (*Content, error) {
	var res []Resource
	err := cmp.Or(
		encodeList(&res, KindRegion, ms.Regions, func(rg *decl.Region) string { return rg.Name }),
		encodeList(&res, KindDomain, ms.Domains, func(dm *decl.Domain) string { return dm.Name }),
		encodeList(&res, KindService, ms.Services, func(sv *decl.Service) string { return sv.Name }),
		encodeList(&res, KindVM, ms.VMs, func(vm *decl.VM) string { return vm.Name }),
		encodeList(&res, KindClass, ms.Classes, func(cl *decl.Class) string { return cl.Name }),
		encodeList(&res, KindRoute, ms.Routes, func(rt *decl.Route) string { return rt.Name }),
		encodeList(&res, KindPlacement, ms.Placements, func(pl *decl.Placement) string { return pl.Service }),
		encodeList(&res, KindLimits, ms.CallerLimits, func(cl *decl.CallerLimits) string { return cl.Name }),
		encodeList(&res, KindTenant, ms.Tenants, func(tn *decl.Tenant) string { return tn.Name }),
	)
	if err != nil {
		return nil, err
	}
	return New(res), nil
}

func encodeList[T any](res *[]Resource, kind Kind, list []T, name func(*T) string) error {
	for i := range list {
		body, err := json.Marshal(&list[i])
		if err != nil {
			return fmt.Errorf("pack: %s %s: %w", kind, name(&list[i]), err)
		}
		*res = append(*res, Resource{Key: Key{Kind: kind, Name: name(&list[i])}, Body: body})
	}
	return nil
}
