package features

import (
	"errors"
	"strings"
	"testing"

	"spantack/routing"
)

func mustParse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against a reload of a changed document without a higher version, and against a reload that moves a tenant to
// another cell without the gradual shift of a migration. A file that changes nothing, or whose versions are higher, is
// accepted.
func TestCheckReplacesRejectsStaleVersionsAndLateMigrations(t *testing.T) {
	// In the documents %V is the version, and %P a value that differs between two documents: the prefix of a rollout, the
	// capacity of a topology, the start of a migration.
	const (
		cells = `"cells":{"enabled":true,"version":1,"scheme":"fixed",` +
			`"cells":[{"name":"a","share":0.5},{"name":"b","share":0.5}],` +
			`"tenants":[{"name":"t","cell":"a"}],"keys":[{"tenant":"t"}],"budget":{}}`
		rollout = `{` + cells + `,"stage":{"enabled":true,"version":%V,"name":"r","prefix":"%P","since":1,` +
			`"rings":[{"cells":["a"],"open":1e6,"for":6e5}]}}`
		topology  = `{"shape":{"enabled":true,"version":%V,"head":{"name":"h","kbPerS":%P}}}`
		migrating = `{` + cells + `,"moves":{"enabled":true,"version":%V,` +
			`"moves":[{"tenant":"t","depot":"*","from":"a","to":"b",` +
			`"start":%P,"shift":60000,"slow":120000,"settle":1000}]}}`
		off = `{}`
	)
	with := func(text, version, value string) string {
		return strings.NewReplacer("%V", version, "%P", value).Replace(text)
	}
	const now = 1000
	for _, c := range []struct{ name, old, next, want string }{
		{"all off", off, off, ""},
		{"new rollout", off, with(rollout, "1", "00"), ""},
		{"same rollout", with(rollout, "2", "00"), with(rollout, "2", "00"), ""},
		{"rollout of a higher version", with(rollout, "2", "00"), with(rollout, "3", "01"), ""},
		{"changed rollout of the same version", with(rollout, "2", "00"), with(rollout, "2", "01"),
			"stage.version: 2, must be above 2, the current version"},
		{"rollout of a lower version", with(rollout, "2", "00"), with(rollout, "1", "00"),
			"stage.version: 1, must be above 2, the current version"},
		{"new topology", off, with(topology, "1", "5"), ""},
		{"same topology", with(topology, "4", "5"), with(topology, "4", "5"), ""},
		{"topology of a higher version", with(topology, "4", "5"), with(topology, "5", "6"), ""},
		{"changed topology of the same version", with(topology, "4", "5"), with(topology, "4", "6"),
			"shape.version: 4, must be above 4, the current version"},
		{"new migration loaded in time", off, with(migrating, "1", "60000"), ""},
		{"new migration loaded too late", off, with(migrating, "1", "10"), "moves."},
		{"same migration", with(migrating, "1", "10"), with(migrating, "1", "10"), ""},
		{"migration disabled while in progress", with(migrating, "1", "10"), off, "moves."},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := mustParse(t, c.next).CheckReplaces(now, mustParse(t, c.old))
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	if err := mustParse(t, with(rollout, "1", "00")).CheckReplaces(now, nil); err != nil {
		t.Errorf("no previous file: %v", err)
	}
}

func TestCheckSettingsRejectsUnknownClassAndSite(t *testing.T) {
	settings := &routing.Settings{Classes: []routing.Class{{Name: "page"}}, Zones: []string{"z"}}
	f := mustParse(t, `{"cells":{"enabled":true,"version":1,"scheme":"fixed","cells":[{"name":"a","share":1}],`+
		`"tenants":[{"name":"t","cell":"a","depots":{"z":"a"}}],`+
		`"keys":[{"class":"page","tenant":"t"},{"tenant":"t"}],"budget":{}}}`)
	if err := f.CheckSettings(settings); err != nil {
		t.Error(err)
	}
	settings.Zones = []string{"y"}
	if err := f.CheckSettings(settings); err == nil || !strings.HasPrefix(err.Error(), "cells.tenants[0].depots[z]: ") {
		t.Errorf("unknown site: got %v, want an error of cells.tenants[0].depots[z]", err)
	}
	settings.Classes[0].Name = "video"
	err := f.CheckSettings(settings)
	if err == nil || !strings.HasPrefix(err.Error(), "cells.keys[0].class: ") {
		t.Errorf("unknown class: got %v, want an error of cells.keys[0].class", err)
	}
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "cells.keys[0].class" {
		t.Errorf("not a FieldError: %v", err)
	}
}

// Guards against a fleet limit that the router cannot enforce: it needs parent caches, and the cache status of each
// response.
func TestCheckSettingsRejectsFleetWithoutParentsOrCacheStatus(t *testing.T) {
	f := mustParse(t, `{"fleet":{"enabled":true,"asks":9}}`)
	settings := &routing.Settings{}
	settings.Hierarchy.CacheStatusReporting = routing.CacheStatusReported
	if err := f.CheckSettings(settings); err != nil {
		t.Error(err)
	}
	settings.Hierarchy.CacheStatusReporting = routing.CacheStatusHitsReported
	if err := f.CheckSettings(settings); err == nil || !strings.Contains(err.Error(), "Extra.NotesGiven") {
		t.Errorf("without cache status: %v", err)
	}
	settings.Hierarchy.ParentKind = -1
	if err := f.CheckSettings(settings); err == nil || !strings.Contains(err.Error(), "Extra.ShieldKind") {
		t.Errorf("without parent caches: %v", err)
	}
}
