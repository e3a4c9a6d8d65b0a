package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxKeyDepth bounds how deep objects of the file are looked into.
const maxKeyDepth = 4

// objectKeys lists the keys of every object in a file, by its path; a list of objects stands for the keys that all of them have.
type objectKeys map[string][]string

func collectKeys(text []byte) (objectKeys, error) {
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	s := objectKeys{}
	s.walk("", v, maxKeyDepth)
	maps.DeleteFunc(s, func(path string, _ []string) bool { return strings.HasPrefix(path, "known.notices[]") }) // events are of several kinds
	return s, nil
}

func (s objectKeys) walk(path string, v any, depth int) {
	if depth == 0 {
		return
	}
	switch v := v.(type) {
	case map[string]any:
		keys := slices.Sorted(maps.Keys(v))
		if before, seen := s[path]; seen {
			keys = slices.DeleteFunc(keys, func(k string) bool { return !slices.Contains(before, k) })
		}
		s[path] = keys
		for _, k := range keys {
			s.walk(joinPath(path, k), v[k], depth-1)
		}
	case []any:
		for _, e := range v {
			s.walk(path+"[]", e, depth)
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// CheckReplaces checks that a file taken in on SIGHUP has every key that the one in force has: one that lacks a key was cut short or is
// somebody's mistake, and what was set by it would go unnoticed.
func (c *Config) CheckReplaces(old *Config) error {
	for _, path := range slices.Sorted(maps.Keys(old.keys)) {
		have, there := c.keys[path]
		switch {
		case there:
		case strings.Contains(path, "[]"): // a list may have become empty
			continue
		default:
			return fmt.Errorf("%s: no object any more", path)
		}
		for _, k := range old.keys[path] {
			if !slices.Contains(have, k) {
				return fmt.Errorf("%s: missing", joinPath(path, k))
			}
		}
	}
	return nil
}
