package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a reload of an incomplete file: one that lacks a key of the current file, at any depth, is rejected.
// A file with additional keys, or with events of other kinds, is accepted.
func TestIncompleteFileDoesNotReplace(t *testing.T) {
	old, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	const class = `"Promise":300000,"Idempotency":"read_like"}`
	for _, c := range []struct{ name, old, new, want string }{
		{"key at the top level", `"name":"n3",`, ``, "name: missing"},
		{"key of an object", `"cores":1.0,`, ``, "limits.cores: missing"},
		{"key of the only class", `"Promise":300000,`, ``, "settings.Classes[].Promise: missing"},
		{"key of a nested object", `"HeedWithin":300000`, `"X":1`, "settings.Extra.HeedWithin: missing"},
		{"null for an object", `"Guarantees":{"StopSendingWithin":500000}`, `"Guarantees":null`,
			"settings.Guarantees: no longer an object"},
		{"new object", `"Zone":"east",`, `"Zone":"east","Beyond":{"a":1},`, ""},
		{"event of another kind", `{"rev":3,"pool":{"all":true,"targets":[]}}`,
			`{"rev":3,"flush":{"collection":17,"ms":1764576000480}}`, ""},
		{"new element with more keys", class,
			class + `,{"Name":"b","Promise":1,"Deadline":1,"Idempotency":"read_like","AimStretch":2}`, ""},
		{"new element that lacks a key", class, class + `,{"Name":"b","Deadline":1,"Idempotency":"read_like"}`,
			"settings.Classes[].Promise: missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			next, err := Parse([]byte(replaced(t, validFile, c.old, c.new)))
			if err != nil {
				t.Fatal(err)
			}
			err = next.CheckReplaces(old)
			if c.want == "" && err != nil || c.want != "" && (err == nil || err.Error() != c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// siteClasses are the keys of the classes of both deployments, by class: as the platform writes them, the class that runs
// at the origin has no AimStretch.
var siteClasses = map[string]bool{ // name: whether the class has AimStretch
	"screen-video": true, "catalogue": true, "stock-report": false,
	"video-parts": true, "small-files": true, "viewer-posts": false,
}

// drawClasses draws a list of classes with all keys that the platform's pages require.
func drawClasses(t *rapid.T) []map[string]any {
	names := slices.Sorted(maps.Keys(siteClasses))
	var classes []map[string]any
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, "classes") {
		class := map[string]any{
			"Name": name, "Deadline": 3_000_000, "Promise": 600_000, "Gain": 1, "LateWorth": 0.2, "Group": "all",
			"Idempotency": "read_like", "MemorySpan": 5_000_000, "Stream": false,
		}
		if siteClasses[name] {
			class["AimStretch"] = 1.6
		}
		classes = append(classes, class)
	}
	return classes
}

// drawTenants draws a list of tenants, which may be empty.
func drawTenants(t *rapid.T) []map[string]any {
	tenants := []map[string]any{}
	for i := range rapid.IntRange(0, 2).Draw(t, "tenants") {
		tenants = append(tenants, map[string]any{"Name": fmt.Sprintf("tenant-%d", i), "QuotaPerS": 10, "Share": 0.5})
	}
	return tenants
}

// configWith returns a configuration with these classes and tenants.
func configWith(t *rapid.T, classes, tenants []map[string]any) *Config {
	var document map[string]any
	if err := json.Unmarshal([]byte(validFile), &document); err != nil {
		t.Fatal(err)
	}
	settings := document["settings"].(map[string]any)
	settings["Classes"] = classes
	settings["Tenants"] = tenants
	settings["Prices"] = map[string]any{"Origin": 0.1}
	if rapid.Bool().Draw(t, "fleet price") {
		settings["Prices"] = map[string]any{"Origin": 0.1, "Fleet": 0.2}
	}
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against files that are rejected because a key that may be absent became required, when the classes that were
// left all had it. Classes and tenants are added, dropped and swapped in any order; tenants may have gone meanwhile. A
// file in which an object of either list lacks a required key must still be rejected, whatever came before it.
func TestChangedListsKeepTheirRequiredKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := configWith(t, drawClasses(t), []map[string]any{{"Name": "a", "QuotaPerS": 1, "Share": 1}})
		for range rapid.IntRange(1, 5).Draw(t, "reloads") {
			next := configWith(t, drawClasses(t), drawTenants(t))
			if err := next.CheckReplaces(current); err != nil {
				t.Fatalf("a complete file was rejected: %v", err)
			}
			next.RememberKeys(current)
			current = next
		}
		classes, tenants := drawClasses(t), drawTenants(t)
		path, list := "settings.Classes[]", classes
		if len(tenants) > 0 && rapid.Bool().Draw(t, "tenant lacks a key") {
			path, list = "settings.Tenants[]", tenants
		}
		incomplete := list[rapid.IntRange(0, len(list)-1).Draw(t, "object")]
		key := rapid.SampledFrom(slices.Sorted(maps.Keys(incomplete))).Draw(t, "key")
		delete(incomplete, key)
		if key == "AimStretch" || key == "Name" && len(list) > 1 { // optional; two classes without a name are no file
			return
		}
		err := configWith(t, classes, tenants).CheckReplaces(current)
		if want := path + "." + key + ": missing"; err == nil || err.Error() != want {
			t.Fatalf("got %v, want %q", err, want)
		}
	})
}
