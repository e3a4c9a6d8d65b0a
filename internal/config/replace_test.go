package config

import "testing"

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
