package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spantack/routing"
)

func write(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "f.jsonnet")
}

const on = `{ cells: { enabled: true, version: 3, scheme: 'fixed', cells: [{ name: 'a', share: 1 }], tenants: [{ name: 't', cell: 'a' }],
  keys: [{ tenant: 't' }], budget: { requestsPerS: 0, fillKbPerS: 0, parentKbPerS: 0, originKbPerS: 0, open: 0, writesPerS: 0, giveMs: 0 } } }`

func TestExampleIsOffAndWholeWhenOn(t *testing.T) {
	const example = "../../deploy/features.jsonnet"
	f, err := Load(example)
	if err != nil || f.CellSpec() != nil {
		t.Fatalf("%v, %v", f, err)
	}
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	f, err = Load(write(t, map[string]string{"f.jsonnet": strings.ReplaceAll(string(text), "enabled: false", "enabled: true")}))
	if err != nil || f.CellSpec() == nil {
		t.Fatalf("%v, %v", f, err)
	}
}

func TestFaultsAreOneLineWithTheField(t *testing.T) {
	for want, text := range map[string]string{
		"cells.budgets: no such field; fields are budget, cells, enabled,": strings.Replace(on, "budget:", "budgets:", 1),
		"cells.cells[0].share: \"x\" is not a number":                      strings.Replace(on, "share: 1", "share: 'x'", 1),
		"cells.version: 1.5 is not a whole number":                         strings.Replace(on, "version: 3", "version: 1.5", 1),
		"cells.tenants: {\"name\":\"t\"} is not a list":                    strings.Replace(on, "[{ name: 't', cell: 'a' }]", "{ name: 't' }", 1),
		"cells.enabled: 1 is not true or false":                            strings.Replace(on, "true", "1", 1),
		"cells.keys[0].tenant: \"u\" is no tenant":                         strings.Replace(on, "tenant: 't'", "tenant: 'u'", 1),
		"cells.tenants[0].depots: [] is not an object":                     strings.Replace(on, "cell: 'a' }]", "cell: 'a', depots: [] }]", 1),
		"shield: no such shield: law: \"none\" is none of":                 "{ shield: { enabled: true, law: 'none', most: 9, burst: 2, usualMs: 60 } }",
		"shield: no such shield: lingerMs: -1 is not":                      "{ shield: { enabled: true, law: 'fixed', most: 9, burst: 2, usualMs: 60, lingerMs: -1 } }",
		"shield: no such shield: most: 0 is not":                           "{ shield: { enabled: true, law: 'fixed', burst: 2, usualMs: 60 } }",
		"fleet.tree.groups[1]: 20 is not a multiple of 16":                 "{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [16, 20], electors: [0] } } }",
		"fleet.tree.electors[0]: rank 64 of 64":                            "{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [16], electors: [64] } } }",
		"fleet.tree.electors: 2, an odd number":                            "{ fleet: { enabled: true, asks: 9, tree: { routers: 64, groups: [], electors: [0, 1] } } }",
		"fleet.tree.routers: 0 is not 1 to 65536":                          "{ fleet: { enabled: true, asks: 9, tree: { groups: [], electors: [0] } } }",
		"fleet.tree.sizes: no such field":                                  "{ fleet: { enabled: true, asks: 9, tree: { sizes: [2] } } }",
		"cells: 7 is not an object":                                        "{ cells: 7 }",
		"Unknown variable: nothing":                                        "{ cells: nothing }",
		"import \"../secret\": not in the file's own folder":               "{ cells: import '../secret' }",
		"import \"/etc/passwd\": not in the file's own folder":             "{ cells: importstr '/etc/passwd' }",
		"max stack frames exceeded":                                        "local f(x) = f(x + 1) + 1; f(0)",
	} {
		path := write(t, map[string]string{"f.jsonnet": text})
		_, err := Load(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+": ") || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that there is not")
	}
}

func TestImportsFromTheOwnFolder(t *testing.T) {
	f, err := Load(write(t, map[string]string{"f.jsonnet": "import 'base.libsonnet'", "base.libsonnet": on}))
	if err != nil || f.CellSpec().Version != 3 {
		t.Errorf("%v, %v", f, err)
	}
}

func TestFits(t *testing.T) {
	set := &routing.Settings{Classes: []routing.Class{{Name: "page"}}, Zones: []string{"z"}}
	f, err := Parse([]byte(`{"cells":{"enabled":true,"version":1,"scheme":"fixed","cells":[{"name":"a","share":1}],"tenants":[{"name":"t","cell":"a","depots":{"z":"a"}}],
		"keys":[{"class":"page","tenant":"t"},{"tenant":"t"}],"budget":{}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.CheckSettings(set); err != nil {
		t.Error(err)
	}
	set.Zones = []string{"y"}
	if err := f.CheckSettings(set); err == nil || !strings.HasPrefix(err.Error(), "cells.tenants[0].depots[z]: ") {
		t.Errorf("got %v", err)
	}
	set.Classes[0].Name = "video"
	if err := f.CheckSettings(set); err == nil || !strings.HasPrefix(err.Error(), "cells.keys[0].class: ") {
		t.Errorf("got %v", err)
	}
}

// Whatever is read, there is an error or a specification that can be put in force, and never a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"cells":{"enabled":true,"version":1,"scheme":"nested","width":2,"cells":[{"name":"a","share":1}],"tenants":[{"name":"t","cell":"a"}],"keys":[{"tenant":"t"}],"budget":{}}}`))
	f.Add([]byte(`{"cells":{"enabled":false}}`))
	f.Add([]byte(`[1,2]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text)
		if err == nil && file.CellSpec() != nil {
			if err := file.CellSpec().Check(); err != nil {
				t.Error(err)
			}
		}
	})
}
