package decl

import (
	"fmt"
	"strconv"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// CheckReferences returns the problems of ms that keep a daemon from applying it as a whole:
// references to what is not declared, and routes without a target. The other limits of Check are for
// those who write declarations; a version that was accepted without them is applied.
func CheckReferences(ms *Mesh) strict.Problems {
	ck := &checker{
		ms:       ms,
		domains:  namesOf(ms.Domains, func(dm *Domain) string { return dm.Name }),
		services: namesOf(ms.Services, func(sv *Service) string { return sv.Name }),
		classes:  namesOf(ms.Classes, func(cl *Class) string { return cl.Name }),
	}
	ck.checkReferences()
	return ck.prs
}

func namesOf[T any](list []T, name func(*T) string) map[string]bool {
	names := make(map[string]bool, len(list))
	for i := range list {
		names[name(&list[i])] = true
	}
	return names
}

func (ck *checker) checkReferences() {
	for i := range ck.ms.Services {
		if sv := &ck.ms.Services[i]; sv.Class != "" {
			ck.checkRef(sv.Pos, "class", sv.Class, ck.classes, "service ", sv.Name)
		}
	}
	for i := range ck.ms.VMs {
		vm := &ck.ms.VMs[i]
		ck.checkRef(vm.Pos, "failure domain", vm.Domain, ck.domains, "VM ", vm.Name)
		ck.checkRef(vm.Pos, "service", vm.Service, ck.services, "VM ", vm.Name)
	}
	for i := range ck.ms.Routes {
		rt := &ck.ms.Routes[i]
		if len(rt.To) == 0 {
			ck.add(rt.Pos, "list one service or more in \"to\"", "route %q has no targets", rt.Name)
		}
		for _, tg := range rt.To {
			ck.checkRef(tg.Pos, "service", tg.Service, ck.services, "route ", rt.Name)
		}
		if rt.Class != "" {
			ck.checkRef(rt.Pos, "class", rt.Class, ck.classes, "route ", rt.Name)
		}
	}
	for i := range ck.ms.Placements {
		pl := &ck.ms.Placements[i]
		ck.checkRef(pl.Pos, "service", pl.Service, ck.services, "the placement of ", pl.Service)
		for _, o := range pl.Order {
			if o != OrderOwn && o != OrderRegion && o != OrderAny {
				ck.checkRef(pl.Pos, "failure domain", o, ck.domains, "the placement of ", pl.Service)
			}
		}
	}
}

// checkRef reports the name of something that is not known. The subject is given in two parts, since
// it is needed for the report only.
func (ck *checker) checkRef(pos strict.Pos, kind, name string, known map[string]bool, subjectKind, subject string) {
	if known[name] {
		return
	}
	names := make([]string, 0, len(known))
	for n := range known {
		names = append(names, n)
	}
	ck.add(pos, strict.Suggest(name, names), "%s%s names the %s %q, which is not declared", subjectKind, strconv.Quote(subject), kind, name)
}

// MakeUnique changes a mesh that was not written as declarations so that each name stands for one
// thing. Of services with one name the first is kept, and tenants with one name are merged. A route
// whose name is taken gets its host and, if that is taken too, a number as suffix.
func (ms *Mesh) MakeUnique() {
	ms.Services = withoutRepeats(ms.Services, func(sv *Service) string { return sv.Name }, func(_, _ *Service) {})
	ms.Tenants = withoutRepeats(ms.Tenants, func(tn *Tenant) string { return tn.Name }, func(first, again *Tenant) {
		first.Keys = append(first.Keys, again.Keys...)
	})
	used := make(map[string]bool, len(ms.Routes))
	for i := range ms.Routes {
		rt := &ms.Routes[i]
		name := rt.Name
		for n := 1; used[name]; n++ {
			name = rt.Name + "." + rt.Match.Host
			if n > 1 {
				name += fmt.Sprint(".", n)
			}
		}
		rt.Name = name
		used[name] = true
	}
}

// withoutRepeats returns list with the first entry of each name; merge adds a later one to it.
func withoutRepeats[T any](list []T, name func(*T) string, merge func(first, again *T)) []T {
	firsts := make(map[string]int, len(list))
	kept := list[:0]
	for i := range list {
		if first, ok := firsts[name(&list[i])]; ok {
			merge(&kept[first], &list[i])
			continue
		}
		firsts[name(&list[i])] = len(kept)
		kept = append(kept, list[i])
	}
	return kept
}
