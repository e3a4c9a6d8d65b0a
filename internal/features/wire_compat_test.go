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
			t.Errorf("%s: encoded as %s, want %s", name, got, want)
		}
	}
}

// Guards against features that are enabled in a file but are off in the router, or have other values there.
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
	graph, err := f.TopologyGraph()
	if err != nil || graph == nil {
		t.Fatalf("shape: got %v, error %v", graph, err)
	}
	if spec := f.CellSpec(); spec == nil || spec.OverflowCell != "spare" || spec.Budget.ReclaimMillis != 18 ||
		spec.TenantKeys[0].DeclaredTenant != "acme" {
		t.Errorf("cells: got %+v, want spare \"spare\", giveMs 18 and named \"acme\" of keys[0]", spec)
	}
	if doc := f.ActiveMigration(); doc == nil || doc.Version != 8 || doc.Migrations[0].RollbackAt != 1764576040006 {
		t.Errorf("moves: got %+v, want version 8 and backAt 1764576040006", doc)
	}
	if r := f.ActiveRollout(); r == nil || r.Version != 9 || r.Rings[1].JudgeWithin != 600012 || r.Margin != 1.25 {
		t.Errorf("stage: got %+v, want version 9, for 600012 of rings[1] and margin 1.25", r)
	}
	if limit := f.ActiveOriginLimit(); limit == nil || limit.Algorithm != "gradient" || limit.AbandonedFetchMs != 3001 {
		t.Errorf("shield: got %+v, want law gradient and lingerMs 3001", limit)
	}
	if limits := f.FleetLimits(); len(limits) != 1 || limits[0].Max != 42 || limits[0].FloorFraction != 0.25 ||
		!f.VerdictsEnabled() {
		t.Errorf("fleet: got %+v, want asks 42, floor 0.25 and verdicts", limits)
	}
	if tree := f.LeaseTree(); tree == nil || tree.Routers != 12001 || len(tree.Electors) != 3 {
		t.Errorf("fleet.tree: got %+v, want 12001 routers and 3 electors", tree)
	}
}
