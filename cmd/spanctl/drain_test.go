package main

import "testing"

// Guards against a drain that does not migrate all tenants of a cell. Also guards against output without the reason why
// a tenant is not migrated when the target has no capacity for it, without the duration or its lower bound, or without
// the use of limits.
func TestCellsDrain(t *testing.T) {
	writeFile := newFileWriter(t)
	file := writeFeatures(writeFile, "a")
	writeFile("moves.json", `{"enabled": false}`)
	demand := writeDemand(writeFile)
	for _, c := range []struct{ name, capacity, want string }{
		{"number and time", "1000", "tenants migrate within"},
		{"tenant without capacity", "150", "t is not migrated: load of b: 100 KB"},
		{"use of limits", "1000", "% of its limit at most"},
		{"lower bound", "1000", "no schedule within the limits takes less than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCommand(t, "cells drain "+file+" a --into b --demand "+demand+" --now 1500000 --dry-run --bears-kb-s "+c.capacity,
				c.want, "")
		})
	}
}
