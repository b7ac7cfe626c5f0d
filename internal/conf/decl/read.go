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

// MaxFileSize is the maximum size in bytes of a file of declarations.
const MaxFileSize = 1 << 20

// Read reads all .yaml and .yml files in dir as one Mesh and checks it. The error is a
// strict.Problems that lists every problem.
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
	ms, parseProblems := Parse(files)
	return ms, append(prs, parseProblems...).Err()
}

func readFile(path string) ([]byte, error) {
	fi, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if fi.Size() > MaxFileSize {
		return nil, fmt.Errorf("the file has %d bytes, more than %d", fi.Size(), MaxFileSize)
	}
	return os.ReadFile(path)
}

// Parse decodes files, given by name, as one Mesh and checks it.
func Parse(files map[string][]byte) (*Mesh, strict.Problems) {
	var ms Mesh
	var prs strict.Problems
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		var fileMesh Mesh
		prs = append(prs, strict.Decode(name, files[name], &fileMesh)...)
		ms.Regions = append(ms.Regions, fileMesh.Regions...)
		ms.Domains = append(ms.Domains, fileMesh.Domains...)
		ms.Services = append(ms.Services, fileMesh.Services...)
		ms.VMs = append(ms.VMs, fileMesh.VMs...)
		ms.Classes = append(ms.Classes, fileMesh.Classes...)
		ms.Routes = append(ms.Routes, fileMesh.Routes...)
		ms.Placements = append(ms.Placements, fileMesh.Placements...)
		ms.CallerLimits = append(ms.CallerLimits, fileMesh.CallerLimits...)
		ms.Tenants = append(ms.Tenants, fileMesh.Tenants...)
	}
	for _, pr := range Check(&ms) {
		// A problem without a position comes from an entry that could not be decoded, which
		// has been reported already.
		if pr.Pos.Line > 0 {
			prs = append(prs, pr)
		}
	}
	return &ms, prs
}

// Sort sorts each list by name, which is its canonical order.
func (ms *Mesh) Sort() {
	sortByName(ms.Regions, func(rg Region) string { return rg.Name })
	sortByName(ms.Domains, func(dm Domain) string { return dm.Name })
	sortByName(ms.Services, func(sv Service) string { return sv.Name })
	sortByName(ms.VMs, func(vm VM) string { return vm.Name })
	sortByName(ms.Classes, func(cl Class) string { return cl.Name })
	sortByName(ms.Routes, func(rt Route) string { return rt.Name })
	sortByName(ms.Placements, func(pl Placement) string { return pl.Service })
	sortByName(ms.CallerLimits, func(cl CallerLimits) string { return cl.Name })
	sortByName(ms.Tenants, func(tn Tenant) string { return tn.Name })
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// Print returns ms as YAML in its canonical form: lists sorted by name, keys in the order of the
// struct fields, default values omitted.
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
	cp.Tenants = slices.Clone(ms.Tenants)
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
	clearStyle(&doc)
	return yaml.Marshal(&doc)
}

// clearStyle removes the flow style and quotes of JSON from a node and its children. The encoder
// adds quotes where they are needed.
func clearStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		clearStyle(c)
	}
}
