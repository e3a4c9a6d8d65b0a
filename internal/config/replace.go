package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// optionalKeys are the keys that the platform's pages allow to be absent, by the path of their object. They set what the
// zero value of a missing key means too.
var optionalKeys = objectKeys{
	"settings.Classes[]": {"AimStretch"},
	"settings.Prices":    {"Fleet"},
}

// maxKeyDepth is the number of levels of nested objects whose keys are collected.
const maxKeyDepth = 4

// objectKeys maps the path of each object in a file to its sorted keys. All objects of a list have the same path, such
// as settings.Classes[]. That path maps to the keys that all objects of the list have.
type objectKeys map[string][]string

// collectKeys returns the keys of a file's objects, down to maxKeyDepth levels. Events are left out, because each kind
// of event has different keys.
func collectKeys(text []byte) (objectKeys, error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return nil, &FieldError{envConfig, err}
	}
	keys := objectKeys{}
	keys.collect("", value, maxKeyDepth)
	maps.DeleteFunc(keys, func(path string, _ []string) bool { return strings.HasPrefix(path, "known.notices[]") })
	return keys, nil
}

func (k objectKeys) collect(path string, value any, depth int) {
	if depth == 0 {
		return
	}
	switch value := value.(type) {
	case map[string]any:
		keys := slices.Sorted(maps.Keys(value))
		if common, exists := k[path]; exists {
			keys = slices.DeleteFunc(keys, func(key string) bool { return !slices.Contains(common, key) })
		}
		k[path] = keys
		for _, key := range keys {
			k.collect(joinPath(path, key), value[key], depth-1)
		}
	case []any:
		for _, element := range value {
			k.collect(path+"[]", element, depth)
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// CheckReplaces returns an error unless c, read on SIGHUP, has every required key of old, the current configuration. It
// checks the keys that collectKeys collects, without optionalKeys. Lists may become empty. A missing key means that the
// file is incomplete or wrong. Without this check the router would silently use a default. The error is a FieldError.
func (c *Config) CheckReplaces(old *Config) error {
	for _, path := range slices.Sorted(maps.Keys(old.keys)) {
		keys, exists := c.keys[path]
		if !exists {
			if isInList(path) { // the list may be empty now
				continue
			}
			return fieldError(path, "no longer an object")
		}
		for _, key := range old.keys[path] {
			if !slices.Contains(keys, key) && !slices.Contains(optionalKeys[path], key) {
				return missingError(joinPath(path, key))
			}
		}
	}
	return nil
}

// RememberKeys adds to c, which replaces old, what CheckReplaces must still know of the files before c. The keys of the
// objects in a list that is now empty stay required. A key that an object in a list did not have in an earlier file stays
// optional, even if all objects that are left have it.
func (c *Config) RememberKeys(old *Config) {
	keys := maps.Clone(c.keys)
	for path, required := range old.keys {
		if isInList(path) {
			keys[path] = required
		}
	}
	c.keys = keys
}

// isInList reports whether the objects of a path are in a list.
func isInList(path string) bool { return strings.Contains(path, "[]") }
