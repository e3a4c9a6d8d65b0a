package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFiles writes files, by name, to a temporary folder and returns the path of f.jsonnet in it.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "f.jsonnet")
}

// cellsEnabled is a features file with one cell and one tenant.
const cellsEnabled = `{ cells: { enabled: true, version: 3, scheme: 'fixed', cells: [{ name: 'a', share: 1 }],
  tenants: [{ name: 't', cell: 'a' }], keys: [{ tenant: 't' }],
  budget: { requestsPerS: 0, fillKbPerS: 0, parentKbPerS: 0, originKbPerS: 0, open: 0, writesPerS: 0, giveMs: 0 } } }`

// Guards against an example file that the router rejects, as it is or with all features enabled.
func TestExampleFileIsValidWithFeaturesOffAndOn(t *testing.T) {
	const example = "../../deploy/features.jsonnet"
	f, err := Load(example)
	if err != nil || f.CellSpec() != nil {
		t.Fatalf("example file: got %v, error %v", f, err)
	}
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	enabled := strings.ReplaceAll(string(text), "enabled: false", "enabled: true")
	f, err = Load(writeFiles(t, map[string]string{"f.jsonnet": enabled}))
	if err != nil || f.CellSpec() == nil {
		t.Fatalf("example file with all features enabled: got %v, error %v", f, err)
	}
}

// replaced returns cellsEnabled with the first occurrence of old replaced by new. It fails the test if there is none.
func replaced(t *testing.T, old, new string) string {
	t.Helper()
	if !strings.Contains(cellsEnabled, old) {
		t.Fatalf("no %q in the file", old)
	}
	return strings.Replace(cellsEnabled, old, new, 1)
}

// Guards against errors that have several lines, or that do not name the file or the field at fault.
func TestLoadErrorIsOneLineThatNamesField(t *testing.T) {
	const otherFields = "most: 9, burst: 2, usualMs: 60"
	for _, c := range []struct{ name, text, want string }{
		{"unknown field", replaced(t, "budget:", "budgets:"),
			"cells.budgets: unknown field; the fields are budget, cells, enabled,"},
		{"string for a number", replaced(t, "share: 1", "share: 'x'"),
			"cells.cells[0].share: \"x\" is not a number"},
		{"fraction for a whole number", replaced(t, "version: 3", "version: 1.5"),
			"cells.version: 1.5 is not a whole number"},
		{"object for a list", replaced(t, "[{ name: 't', cell: 'a' }]", "{ name: 't' }"),
			"cells.tenants: {\"name\":\"t\"} is not a list"},
		{"number for a bool", replaced(t, "true", "1"),
			"cells.enabled: 1 is not true or false"},
		{"unknown tenant", replaced(t, "tenant: 't'", "tenant: 'u'"),
			"cells.keys[0].tenant: \"u\" is no tenant"},
		{"list for a map", replaced(t, "cell: 'a' }]", "cell: 'a', depots: [] }]"),
			"cells.tenants[0].depots: [] is not an object"},
		{"unknown algorithm", "{ shield: { enabled: true, law: 'none', " + otherFields + " } }",
			"shield: law: invalid origin limit: \"none\" is none of"},
		{"negative duration", "{ shield: { enabled: true, law: 'fixed', lingerMs: -1, " + otherFields + " } }",
			"shield: lingerMs: invalid origin limit: -1 is not"},
		{"no limit", "{ shield: { enabled: true, law: 'fixed', burst: 2, usualMs: 60 } }",
			"shield: most: invalid origin limit: 0 is not"},
		{"group size not a multiple of the one below",
			"{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [16, 20], electors: [0] } } }",
			"fleet.tree.groups[1]: 20 is not a multiple of 16"},
		{"elector rank not below the number of routers",
			"{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [16], electors: [64] } } }",
			"fleet.tree.electors[0]: rank 64 of 64"},
		{"even number of electors",
			"{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [], electors: [0, 1] } } }",
			"fleet.tree.electors: 2, an odd number"},
		{"tree without routers", "{ fleet: { enabled: true, asks: 9, tree: { groups: [], electors: [0] } } }",
			"fleet.tree.routers: 0 is not 1 to 65536"},
		{"unknown field of a tree", "{ fleet: { enabled: true, asks: 9, tree: { sizes: [2] } } }",
			"fleet.tree.sizes: unknown field"},
		{"fleet without limit and verdicts", "{ fleet: { enabled: true } }",
			"fleet.asks: 0; if fleet.enabled is true, it must be above 0 or fleet.verdicts must be true"},
		{"migration without cells", "{ moves: { enabled: true, version: 1, moves: [] } }",
			"moves.enabled: true, requires cells.enabled to be true"},
		{"rollout without cells", "{ stage: { enabled: true } }",
			"stage.enabled: true, requires cells.enabled to be true"},
		{"number for an object", "{ cells: 7 }",
			"cells: 7 is not an object"},
		{"unknown variable", "{ cells: nothing }",
			"Unknown variable: nothing"},
		{"import from another folder", "{ cells: import '../secret' }",
			"import \"../secret\": not in the folder of the features file"},
		{"import from an absolute path", "{ cells: importstr '/etc/passwd' }",
			"import \"/etc/passwd\": not in the folder of the features file"},
		{"endless recursion", "local f(x) = f(x + 1) + 1; f(0)",
			"max stack frames exceeded"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFiles(t, map[string]string{"f.jsonnet": c.text})
			_, err := Load(path)
			if err == nil {
				t.Fatalf("no error, want %s", c.want)
			}
			text := err.Error()
			if !strings.HasPrefix(text, path+": ") || !strings.Contains(text, c.want) || strings.Contains(text, "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no error for a file that does not exist")
	}
	if _, err := Load(t.TempDir()); err == nil {
		t.Error("no error for a folder")
	}
}

// Guards against rejecting an import from the folder of the features file.
func TestImportFromSameFolder(t *testing.T) {
	files := map[string]string{"f.jsonnet": "import 'base.libsonnet'", "base.libsonnet": cellsEnabled}
	f, err := Load(writeFiles(t, files))
	if err != nil || f.CellSpec().Version != 3 {
		t.Errorf("got %v, error %v", f, err)
	}
}

// Guards against a Parse that panics or accepts an invalid assignment of tenants to cells.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"cells":{"enabled":true,"version":1,"scheme":"nested","width":2,"cells":[{"name":"a","share":1}],` +
		`"tenants":[{"name":"t","cell":"a"}],"keys":[{"tenant":"t"}],"budget":{}}}`))
	f.Add([]byte(`{"cells":{"enabled":false}}`))
	f.Add([]byte(`[1,2]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text)
		if err == nil && file.CellSpec() != nil {
			if err := file.CellSpec().Validate(); err != nil {
				t.Error(err)
			}
		}
	})
}
