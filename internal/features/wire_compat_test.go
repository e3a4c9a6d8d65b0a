package features

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// Guards against a release that reads or writes a features file of the previous release differently. The stored Jsonnet
// file must give the same value as the stored JSON to which it evaluates, and encoding the value must give that JSON.
func TestStoredFeaturesAreStillReadAndWritten(t *testing.T) {
	for _, name := range []string{"all", "shuffle"} {
		want, err := os.ReadFile("testdata/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		loaded, err := Load("testdata/" + name + ".jsonnet")
		if err != nil {
			t.Fatal(err)
		}
		parsed := &File{}
		d := json.NewDecoder(bytes.NewReader(want))
		d.DisallowUnknownFields()
		if err := d.Decode(parsed); err != nil {
			t.Fatalf("%s.json: %v", name, err)
		}
		if !reflect.DeepEqual(loaded, parsed) {
			t.Errorf("%s: read as %+v from Jsonnet, %+v from JSON", name, loaded, parsed)
		}
		got, err := json.MarshalIndent(loaded, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, '\n'); !bytes.Equal(got, want) {
			t.Errorf("%s: written as %s, want %s", name, got, want)
		}
	}
}

// Guards against features that are enabled in a file but do not become active, or become active with other values.
func TestStoredFeaturesAreActiveWithTheirValues(t *testing.T) {
	f, err := Load("testdata/all.jsonnet")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("testdata/all.json")
	if err != nil {
		t.Fatal(err)
	}
	if parsed, err := Parse(text); err != nil || !reflect.DeepEqual(parsed, f) {
		t.Errorf("all.json: read as %+v, %v, want %+v", parsed, err, f)
	}
	g, err := f.TopologyGraph()
	if err != nil || g == nil {
		t.Fatalf("shape: %v, %v", g, err)
	}
	if spec := f.CellSpec(); spec == nil || spec.OverflowCell != "spare" || spec.Budget.ReclaimMillis != 18 ||
		spec.TenantKeys[0].DeclaredTenant != "acme" {
		t.Errorf("cells: %+v", spec)
	}
	if doc := f.ActiveMigration(); doc == nil || doc.Version != 8 || doc.Migrations[0].RollbackAt != 1764576040006 {
		t.Errorf("moves: %+v", doc)
	}
	if s := f.ActiveRollout(); s == nil || s.Version != 9 || s.Rings[1].JudgeWithin != 600012 || s.Margin != 1.25 {
		t.Errorf("stage: %+v", s)
	}
	if d := f.ActiveOriginLimit(); d == nil || d.Algorithm != "gradient" || d.AbandonedFetchMs != 3001 {
		t.Errorf("shield: %+v", d)
	}
	if l := f.FleetLimits(); len(l) != 1 || l[0].Max != 42 || l[0].FloorFraction != 0.25 || !f.VerdictsEnabled() {
		t.Errorf("fleet: %+v", l)
	}
	if tree := f.LeaseTree(); tree == nil || tree.Routers != 12001 || len(tree.Electors) != 3 {
		t.Errorf("fleet.tree: %+v", tree)
	}
}
