package features

import (
	"errors"
	"strings"
	"testing"

	"spantack/routing"
)

func parsed(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestCheckReplaces(t *testing.T) {
	const (
		cells = `"cells":{"enabled":true,"version":1,"scheme":"fixed",` +
			`"cells":[{"name":"a","share":0.5},{"name":"b","share":0.5}],` +
			`"tenants":[{"name":"t","cell":"a"}],"keys":[{"tenant":"t"}],"budget":{}}`
		rollout = `{` + cells + `,"stage":{"enabled":true,"version":%V,"name":"r","prefix":"%P","since":1,` +
			`"rings":[{"cells":["a"],"open":1e6,"for":6e5}]}}`
		topology = `{"shape":{"enabled":true,"version":%V,"head":{"name":"h","kbPerS":%P}}}`
		moving   = `{` + cells + `,"moves":{"enabled":true,"version":%V,` +
			`"moves":[{"tenant":"t","depot":"*","from":"a","to":"b",` +
			`"start":%P,"shift":60000,"slow":120000,"settle":1000}]}}`
		off = `{}`
	)
	with := func(text, version, other string) string {
		return strings.NewReplacer("%V", version, "%P", other).Replace(text)
	}
	const now = 1000
	for _, c := range []struct{ name, old, next, want string }{
		{"all off", off, off, ""},
		{"rollout begins", off, with(rollout, "1", "00"), ""},
		{"same rollout", with(rollout, "2", "00"), with(rollout, "2", "00"), ""},
		{"later rollout", with(rollout, "2", "00"), with(rollout, "3", "01"), ""},
		{"changed rollout of the same version", with(rollout, "2", "00"), with(rollout, "2", "01"),
			"stage.version: 2 is not after 2, the one in force"},
		{"earlier rollout", with(rollout, "2", "00"), with(rollout, "1", "00"),
			"stage.version: 1 is not after 2, the one in force"},
		{"topology begins", off, with(topology, "1", "5"), ""},
		{"same topology", with(topology, "4", "5"), with(topology, "4", "5"), ""},
		{"later topology", with(topology, "4", "5"), with(topology, "5", "6"), ""},
		{"changed topology of the same version", with(topology, "4", "5"), with(topology, "4", "6"),
			"shape.version: 4 is not after 4, the one in force"},
		{"migration begins in time", off, with(moving, "1", "60000"), ""},
		{"migration begins too late", off, with(moving, "1", "10"), "moves."},
		{"same migration", with(moving, "1", "10"), with(moving, "1", "10"), ""},
		{"migration switched off in progress", with(moving, "1", "10"), off, "moves."},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := parsed(t, c.next).CheckReplaces(now, parsed(t, c.old))
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	if err := parsed(t, with(rollout, "1", "00")).CheckReplaces(now, nil); err != nil {
		t.Errorf("nothing in force: %v", err)
	}
}

func TestCheckSettingsOfCells(t *testing.T) {
	settings := &routing.Settings{Classes: []routing.Class{{Name: "page"}}, Zones: []string{"z"}}
	f := parsed(t, `{"cells":{"enabled":true,"version":1,"scheme":"fixed","cells":[{"name":"a","share":1}],`+
		`"tenants":[{"name":"t","cell":"a","depots":{"z":"a"}}],`+
		`"keys":[{"class":"page","tenant":"t"},{"tenant":"t"}],"budget":{}}}`)
	if err := f.CheckSettings(settings); err != nil {
		t.Error(err)
	}
	settings.Zones = []string{"y"}
	if err := f.CheckSettings(settings); err == nil || !strings.HasPrefix(err.Error(), "cells.tenants[0].depots[z]: ") {
		t.Errorf("got %v", err)
	}
	settings.Classes[0].Name = "video"
	err := f.CheckSettings(settings)
	if err == nil || !strings.HasPrefix(err.Error(), "cells.keys[0].class: ") {
		t.Errorf("got %v", err)
	}
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "cells.keys[0].class" {
		t.Errorf("no FieldError: %v", err)
	}
}

// A limit on fills from the origin needs parent caches, and a note in each answer.
func TestCheckSettingsOfTheFleet(t *testing.T) {
	f := parsed(t, `{"fleet":{"enabled":true,"asks":9}}`)
	settings := &routing.Settings{}
	settings.Hierarchy.CacheStatusReporting = routing.CacheStatusReported
	if err := f.CheckSettings(settings); err != nil {
		t.Error(err)
	}
	settings.Hierarchy.CacheStatusReporting = routing.CacheStatusHitsReported
	if err := f.CheckSettings(settings); err == nil || !strings.Contains(err.Error(), "Extra.NotesGiven") {
		t.Errorf("without notes: %v", err)
	}
	settings.Hierarchy.ParentKind = -1
	if err := f.CheckSettings(settings); err == nil || !strings.Contains(err.Error(), "Extra.ShieldKind") {
		t.Errorf("without parent caches: %v", err)
	}
}
