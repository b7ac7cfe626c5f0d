package pack

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/flamingomast/flamingomast/internal/conf/decl"
	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// Decode returns the mesh of a content. A kind or field that this release does not know is an
// error: a version is applied entirely or not at all.
func Decode(co *Content) (*decl.Mesh, error) {
	var de Decoder
	return de.Decode(co)
}

// Decoder decodes successive contents. It reuses the declarations that have not changed since the
// previous one, since a version changes only a few of thousands of routes. The zero value is ready
// for use; it is not safe for concurrent use.
type Decoder struct {
	// last is the previous content and mesh its decoded form, with lists in the order of last.
	last *Content
	mesh *decl.Mesh
}

// Decode returns the mesh of a content. The caller must not modify it, since other meshes may
// share parts of it.
func (de *Decoder) Decode(co *Content) (*decl.Mesh, error) {
	ms := &decl.Mesh{}
	old := cursor{}
	if de.last != nil {
		old.resources = de.last.Resources
	}
	for _, rs := range co.Resources {
		i, found := old.seek(rs.Key)
		if found && bytes.Equal(old.resources[old.pos].Body, rs.Body) && appendReused(ms, de.mesh, rs.Key.Kind, i) {
			continue
		}
		if err := decodeResource(ms, rs); err != nil {
			return nil, fmt.Errorf("pack: %s: %w", rs.Key, err)
		}
	}
	de.last, de.mesh = co, ms
	return ms, nil
}

// Reset discards the previous content.
func (de *Decoder) Reset() { de.last, de.mesh = nil, nil }

// cursor iterates over sorted resources.
type cursor struct {
	resources []Resource
	pos       int
	// kind is the kind of the resource at pos, index its position among the resources of that
	// kind.
	kind  Kind
	index int
}

// seek advances to the first resource whose key is not less than ky. It returns the position of
// that resource among those of its kind, and whether its key is ky.
func (cu *cursor) seek(ky Key) (index int, found bool) {
	for cu.pos < len(cu.resources) {
		cur := cu.resources[cu.pos].Key
		if cur.Kind != cu.kind {
			cu.kind, cu.index = cur.Kind, 0
		}
		c := cur.Compare(ky)
		if c >= 0 {
			return cu.index, c == 0
		}
		cu.pos++
		cu.index++
	}
	return 0, false
}

// appendReused appends declaration i of a kind in old to the list of that kind in ms. It reports
// whether there is one.
func appendReused(ms, old *decl.Mesh, kind Kind, i int) bool {
	switch kind {
	case KindRegion:
		return appendFrom(&ms.Regions, old.Regions, i)
	case KindDomain:
		return appendFrom(&ms.Domains, old.Domains, i)
	case KindService:
		return appendFrom(&ms.Services, old.Services, i)
	case KindVM:
		return appendFrom(&ms.VMs, old.VMs, i)
	case KindClass:
		return appendFrom(&ms.Classes, old.Classes, i)
	case KindRoute:
		return appendFrom(&ms.Routes, old.Routes, i)
	case KindPlacement:
		return appendFrom(&ms.Placements, old.Placements, i)
	case KindLimits:
		return appendFrom(&ms.CallerLimits, old.CallerLimits, i)
	case KindTenant:
		return appendFrom(&ms.Tenants, old.Tenants, i)
	}
	return false
}

func appendFrom[T any](list *[]T, from []T, i int) bool {
	if i >= len(from) {
		return false
	}
	if *list == nil {
		*list = make([]T, 0, len(from))
	}
	*list = append(*list, from[i])
	return true
}

func decodeResource(ms *decl.Mesh, rs Resource) error {
	switch rs.Key.Kind {
	case KindRegion:
		return decodeInto(&ms.Regions, rs.Body, func(rg *decl.Region) *strict.Pos { return &rg.Pos }, rs.Key)
	case KindDomain:
		return decodeInto(&ms.Domains, rs.Body, func(dm *decl.Domain) *strict.Pos { return &dm.Pos }, rs.Key)
	case KindService:
		return decodeInto(&ms.Services, rs.Body, func(sv *decl.Service) *strict.Pos { return &sv.Pos }, rs.Key)
	case KindVM:
		return decodeInto(&ms.VMs, rs.Body, func(vm *decl.VM) *strict.Pos { return &vm.Pos }, rs.Key)
	case KindClass:
		return decodeInto(&ms.Classes, rs.Body, func(cl *decl.Class) *strict.Pos { return &cl.Pos }, rs.Key)
	case KindRoute:
		if err := decodeInto(&ms.Routes, rs.Body, func(rt *decl.Route) *strict.Pos { return &rt.Pos }, rs.Key); err != nil {
			return err
		}
		rt := &ms.Routes[len(ms.Routes)-1]
		rt.Match.Pos = rt.Pos
		for i := range rt.To {
			rt.To[i].Pos = rt.Pos
		}
		return nil
	case KindPlacement:
		return decodeInto(&ms.Placements, rs.Body, func(pl *decl.Placement) *strict.Pos { return &pl.Pos }, rs.Key)
	case KindLimits:
		return decodeInto(&ms.CallerLimits, rs.Body, func(cl *decl.CallerLimits) *strict.Pos { return &cl.Pos }, rs.Key)
	case KindTenant:
		return decodeInto(&ms.Tenants, rs.Body, func(tn *decl.Tenant) *strict.Pos { return &tn.Pos }, rs.Key)
	}
	return fmt.Errorf("this release does not know the kind %q", rs.Key.Kind)
}

// decodeInto decodes one resource and appends it to list. The key takes the place of the position.
func decodeInto[T any](list *[]T, body []byte, pos func(*T) *strict.Pos, ky Key) error {
	var v T
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return err
	}
	*pos(&v) = strict.Pos{File: ky.String()}
	*list = append(*list, v)
	return nil
}
