package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// maxKeyDepth bounds how deep objects are nested whose keys are collected.
const maxKeyDepth = 4

// objectKeys are the sorted keys of each object in a file, by the object's path. The objects in a list have one path
// together, with the keys that all of them have.
type objectKeys map[string][]string

// collectKeys returns the keys of a file. Events are left out: they are of several kinds with keys of their own.
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
		if others, seen := k[path]; seen {
			keys = slices.DeleteFunc(keys, func(key string) bool { return !slices.Contains(others, key) })
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

// CheckReplaces checks whether a file taken in on SIGHUP has every key that the one in force has. A file that lacks
// one is incomplete or a mistake, and the router would silently fall back to a default. The error is a FieldError.
func (c *Config) CheckReplaces(old *Config) error {
	for _, path := range slices.Sorted(maps.Keys(old.keys)) {
		keys, exists := c.keys[path]
		if !exists {
			if strings.Contains(path, "[]") { // a list may have become empty
				continue
			}
			return fieldError(path, "no object any more")
		}
		for _, key := range old.keys[path] {
			if !slices.Contains(keys, key) {
				return missing(joinPath(path, key))
			}
		}
	}
	return nil
}
