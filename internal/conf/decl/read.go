package decl

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/flamingomast/flamingomast/internal/conf/strict"
)

// MaxFile is the size in bytes above which a file of declarations is refused.
const MaxFile = 1 << 20

// Read reads all .yaml files of dir as one Mesh and checks it. The error is a
// strict.Problems that lists all that is wrong.
func Read(dir string) (*Mesh, error) {
	ents, err := os.ReadDir(dir)
	if err != nil {
		return nil, strict.Problems{{Pos: strict.Pos{File: dir}, Message: err.Error(), Remedy: "name a directory that holds the declarations"}}
	}
	var prs strict.Problems
	files := map[string][]byte{}
	for _, ent := range ents {
		ext := filepath.Ext(ent.Name())
		if ent.IsDir() || (ext != ".yaml" && ext != ".yml") {
			continue
		}
		path := filepath.Join(dir, ent.Name())
		data, err := readFile(path)
		if err != nil {
			prs.Add(strict.Pos{File: path}, err.Error(), "make it readable, or split it")
			continue
		}
		files[path] = data
	}
	if len(files) == 0 && len(prs) == 0 {
		prs.Add(strict.Pos{File: dir}, "no .yaml file in it", "name a directory that holds the declarations")
	}
	ms, more := Parse(files)
	return ms, append(prs, more...).Err()
}

func readFile(path string) ([]byte, error) {
	fi, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if fi.Size() > MaxFile {
		return nil, fmt.Errorf("the file has %d bytes, more than %d", fi.Size(), MaxFile)
	}
	return os.ReadFile(path)
}

// Parse reads files, given by name, as one Mesh and checks it.
func Parse(files map[string][]byte) (*Mesh, strict.Problems) {
	var ms Mesh
	var prs strict.Problems
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		var one Mesh
		prs = append(prs, strict.Decode(name, files[name], &one)...)
		ms.Regions = append(ms.Regions, one.Regions...)
		ms.Domains = append(ms.Domains, one.Domains...)
		ms.Services = append(ms.Services, one.Services...)
		ms.VMs = append(ms.VMs, one.VMs...)
		ms.Classes = append(ms.Classes, one.Classes...)
		ms.Routes = append(ms.Routes, one.Routes...)
		ms.Placements = append(ms.Placements, one.Placements...)
		ms.CallerLimits = append(ms.CallerLimits, one.CallerLimits...)
	}
	for _, pr := range Check(&ms) {
		// What has no place comes from an entry that could not be read, which
		// is a problem of its own.
		if pr.Pos.Line > 0 {
			prs = append(prs, pr)
		}
	}
	return &ms, prs
}

// Sort puts each list into its canonical order, by name.
func (ms *Mesh) Sort() {
	byName(ms.Regions, func(rg Region) string { return rg.Name })
	byName(ms.Domains, func(dm Domain) string { return dm.Name })
	byName(ms.Services, func(sv Service) string { return sv.Name })
	byName(ms.VMs, func(vm VM) string { return vm.Name })
	byName(ms.Classes, func(cl Class) string { return cl.Name })
	byName(ms.Routes, func(rt Route) string { return rt.Name })
	byName(ms.Placements, func(pl Placement) string { return pl.Service })
	byName(ms.CallerLimits, func(cl CallerLimits) string { return cl.Name })
}

func byName[T any](list []T, name func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// Print returns ms as YAML in its canonical form: lists sorted by name, keys
// in the order of the types, nothing that equals its default.
func Print(ms *Mesh) ([]byte, error) {
	cp := *ms
	cp.Regions = slices.Clone(ms.Regions)
	cp.Domains = slices.Clone(ms.Domains)
	cp.Services = slices.Clone(ms.Services)
	cp.VMs = slices.Clone(ms.VMs)
	cp.Classes = slices.Clone(ms.Classes)
	cp.Routes = slices.Clone(ms.Routes)
	cp.Placements = slices.Clone(ms.Placements)
	cp.CallerLimits = slices.Clone(ms.CallerLimits)
	cp.Sort()
	// JSON is a subset of YAML that keeps the order of the keys.
	js, err := json.Marshal(&cp)
	if err != nil {
		return nil, err
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(js, &doc); err != nil {
		return nil, err
	}
	plain(&doc)
	return yaml.Marshal(&doc)
}

// plain takes the flow style and the quotes of JSON off a node where they are
// not needed.
func plain(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		plain(c)
	}
}
