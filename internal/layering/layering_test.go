// Package layering checks the directions of imports between the packages of the module.
package layering

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers lists every package of the module, the lowest layer first. A package may import
// packages of lower layers only, so two packages of one layer never import each other. The
// imports of tests are exempt.
//
// To add a package, put it into the lowest layer that lies above everything that it imports.
// If there is none, add a layer: nothing refers to a layer by its number.
var layers = []layer{
	{"base packages, which import no other package of the module", []string{
		"internal/admission",
		"internal/clock",
		"internal/config",
		"internal/json",
		"internal/reachability",
		"internal/recovery",
		"internal/tracing",
	}},
	{"wire messages and rate limits", []string{
		"internal/protocol",
		"internal/ratelimit",
	}},
	{"stored records and counters", []string{
		"internal/history",
		"internal/rejection",
		"internal/storage",
	}},
	{"capacity planning", []string{
		"internal/fleet",
	}},
	{"cluster state", []string{
		"internal/cluster",
	}},
	{"components of the control plane, which don't import each other", []string{
		"internal/admissioncontrol",
		"internal/autoscaler",
		"internal/catalog",
		"internal/dependency",
		"internal/election",
		"internal/forwarding",
		"internal/jobstore",
		"internal/reconcile",
		"internal/records",
		"internal/recoverygate",
		"internal/scheduler",
		"internal/statuspage",
		"internal/submissions",
		"internal/workerrouting",
	}},
	{"controller", []string{
		"internal/controller",
	}},
	{"network transport", []string{
		"internal/transport",
	}},
	{"processes and their clients", []string{
		"internal/adminclient",
		"internal/daemon",
		"internal/fakes",
	}},
	{"emulator", []string{
		"internal/emulator",
	}},
	{"commands", []string{
		"cmd/hitchdoor",
	}},
	{"test-only packages", []string{
		"internal/compatibility",
		"internal/layering",
	}},
}

// restrictedImporters lists, for packages that not every higher layer may import, the packages that
// may import them.
var restrictedImporters = map[string][]string{
	"internal/fakes": {"internal/emulator"},
}

// restrictedLibraries lists, for packages outside the module that not every package may import, the only
// package that may.
var restrictedLibraries = map[string]string{
	"encoding/json":                      "internal/json",
	"github.com/segmentio/encoding/json": "internal/json",
}

// modulePath is the path of the module. The import paths of its packages begin with it.
const modulePath = "hitchdoor"

// moduleRoot is the module's directory, relative to the directory of this package.
const moduleRoot = "../.."

// layer is a set of packages that don't import each other.
type layer struct {
	name     string
	packages []string
}

// importGraph maps each package of the module to the packages that its files import, except for test
// files: those of the module, each named by its directory relative to the module's root, and the
// restricted libraries, each named by its import path.
type importGraph map[string][]string

// TestImportsPointDownwards guards against an import that the layers don't allow, and against a
// package that is missing from the table.
func TestImportsPointDownwards(t *testing.T) {
	graph, err := readImports(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range findViolations(layers, restrictedImporters, graph) {
		t.Error(violation)
	}
}

// TestViolationsAreFound guards against a kind of violation that findViolations overlooks. The module
// itself has no violations, so TestImportsPointDownwards would pass all the same.
func TestViolationsAreFound(t *testing.T) {
	layers := []layer{
		{"low", []string{"low", "beside"}},
		{"middle", []string{"middle", "fakes"}},
		{"high", []string{"high", "emulator"}},
	}
	restricted := map[string][]string{"fakes": {"emulator"}}
	tests := []struct {
		name   string
		change importGraph
		want   string
	}{
		{"downward imports", nil, ""},
		{"upward import", importGraph{"low": {"high"}}, `low (layer "low") imports high (layer "high")`},
		{"import within a layer", importGraph{"low": {"beside"}}, `low (layer "low") imports beside (layer "low")`},
		{"unlisted package", importGraph{"new": nil}, "new is in no layer: add it"},
		{"import of an unlisted package", importGraph{"middle": {"gone"}}, "middle imports gone, which is in no layer"},
		{"restricted package", importGraph{"high": {"fakes"}}, "high imports fakes, which only emulator may import"},
		{"restricted library", importGraph{"high": {"encoding/json"}},
			"high imports encoding/json, which only internal/json may import"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			graph := importGraph{
				"low": nil, "beside": nil, "middle": {"low"}, "fakes": {"low"},
				"high": {"low", "middle"}, "emulator": {"fakes"},
			}
			maps.Copy(graph, test.change)
			got := strings.Join(findViolations(layers, restricted, graph), "\n")
			if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
				t.Errorf("violations: got %q, want a text that contains %q (none if empty)", got, test.want)
			}
		})
	}
}

// TestLayerTableErrorsAreFound guards against duplicate and outdated entries of the table that
// findViolations overlooks.
func TestLayerTableErrorsAreFound(t *testing.T) {
	graph := importGraph{"low": nil}
	tests := []struct {
		name   string
		layers []layer
		want   string
	}{
		{"listed twice", []layer{{"a", []string{"low"}}, {"b", []string{"low"}}}, "low is listed twice"},
		{"removed package", []layer{{"a", []string{"low", "gone"}}}, "gone is listed, but there is no such package"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := strings.Join(findViolations(test.layers, nil, graph), "\n")
			if !strings.Contains(got, test.want) {
				t.Errorf("violations: got %q, want a text that contains %q", got, test.want)
			}
		})
	}
}

// TestImportsOfTestsAreExempt guards against a graph that includes the imports of test files, lacks a
// package that has only test files, or includes files in testdata or of another module, such as a copy of
// the sources below the ignored directory target.
func TestImportsOfTestsAreExempt(t *testing.T) {
	root := t.TempDir()
	files := map[string]string{
		"internal/low/low.go":           "package low\n",
		"internal/low/low_test.go":      "package low\n\nimport _ \"hitchdoor/internal/high\"\n",
		"internal/high/high.go":         "package high\n\nimport (\n\t_ \"fmt\"\n\t_ \"hitchdoor/internal/low\"\n)\n",
		"internal/high/testdata/bad.go": "not Go\n",
		"internal/checks/a_test.go":     "package checks\n",
		"target/copy/go.mod":            "module hitchdoor\n",
		"target/copy/internal/a/a.go":   "package a\n",
	}
	for name, text := range files {
		file := filepath.Join(root, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	graph, err := readImports(root)
	if err != nil {
		t.Fatal(err)
	}
	want := "map[internal/checks:[] internal/high:[internal/low] internal/low:[]]"
	if got := fmt.Sprint(graph); got != want {
		t.Errorf("import graph: got %s, want %s", got, want)
	}
}

// findViolations describes each import that the layers or restricted don't allow, and each package
// that is not listed exactly once in the layers.
func findViolations(layers []layer, restricted map[string][]string, graph importGraph) []string {
	ranks, violations := rankPackages(layers, graph)
	for _, importer := range slices.Sorted(maps.Keys(graph)) {
		importerRank, listed := ranks[importer]
		if !listed {
			violations = append(violations, importer+" is in no layer: add it to layers in layering_test.go")
			continue
		}
		for _, imported := range graph[importer] {
			if onlyImporter, isLibrary := restrictedLibraries[imported]; isLibrary {
				if importer != onlyImporter {
					violations = append(violations, fmt.Sprintf("%s imports %s, which only %s may import",
						importer, imported, onlyImporter))
				}
				continue
			}
			importedRank, listed := ranks[imported]
			switch allowed := restricted[imported]; {
			case !listed:
				violations = append(violations, fmt.Sprintf("%s imports %s, which is in no layer", importer, imported))
			case importedRank >= importerRank:
				violations = append(violations, fmt.Sprintf("%s (layer %q) imports %s (layer %q), which is not a lower layer",
					importer, layers[importerRank].name, imported, layers[importedRank].name))
			case allowed != nil && !slices.Contains(allowed, importer):
				violations = append(violations, fmt.Sprintf("%s imports %s, which only %s may import",
					importer, imported, strings.Join(allowed, ", ")))
			}
		}
	}
	return violations
}

// rankPackages returns the index of each listed package's layer, and describes each package that is
// listed twice or does not exist.
func rankPackages(layers []layer, graph importGraph) (ranks map[string]int, violations []string) {
	ranks = map[string]int{}
	for rank, layer := range layers {
		for _, name := range layer.packages {
			if _, known := ranks[name]; known {
				violations = append(violations, name+" is listed twice")
			}
			if _, exists := graph[name]; !exists {
				violations = append(violations, name+" is listed, but there is no such package: "+
					"remove it from layers in layering_test.go")
			}
			ranks[name] = rank
		}
	}
	return ranks, violations
}

// readImports reads the imports of all packages below root. It parses the files itself rather than
// starting a program such as go list: go test discards a cached result if a file that the test itself has
// read changes, but it doesn't see the files that a started program has read.
func readImports(root string) (importGraph, error) {
	graph := importGraph{}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if file != root && (isIgnoredDirectory(entry.Name()) || isModule(file)) {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(file) != ".go" {
			return nil
		}
		return graph.addFile(root, file)
	})
	return graph, err
}

// isIgnoredDirectory reports whether the go command ignores directories of this name.
func isIgnoredDirectory(name string) bool {
	return name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// isModule reports whether a directory is the root of a module, whose packages belong to no other module.
func isModule(directory string) bool {
	_, err := os.Stat(filepath.Join(directory, "go.mod"))
	return err == nil
}

// addFile adds the file's package to the graph and, unless the file is a test file, the packages of
// the module that it imports.
func (graph importGraph) addFile(root, file string) error {
	directory, err := filepath.Rel(root, filepath.Dir(file))
	if err != nil {
		return err
	}
	importer := filepath.ToSlash(directory)
	if _, known := graph[importer]; !known {
		graph[importer] = nil
	}
	if strings.HasSuffix(file, "_test.go") {
		return nil
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		return err
	}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		name, ok := strings.CutPrefix(path.Clean(imported), modulePath+"/")
		_, isRestricted := restrictedLibraries[imported]
		if (ok || isRestricted) && !slices.Contains(graph[importer], name) {
			graph[importer] = append(graph[importer], name)
		}
	}
	return nil
}
