package main

import "testing"

// All tenants of a cell get migrations to another one, or stay with the reason if it has no capacity for them.
func TestCellsDrain(t *testing.T) {
	put := folder(t)
	file := putFeatures(put, "a")
	put("moves.json", `{"enabled": false}`)
	demand := putDemand(put)
	for _, c := range []struct{ name, capacity, want string }{
		{"number and time", "1000", "tenants move within"},
		{"tenant without capacity", "150", "t stays: load of b: 100 KB"},
		{"use of limits", "1000", "% of its limit at most"},
		{"lower bound", "1000", "no plan within the limits t"},
	} {
		t.Run(c.name, func(t *testing.T) {
			command(t, "cells drain "+file+" a --into b --demand "+demand+" --now 1500000 --dry-run --bears-kb-s "+c.capacity,
				c.want, "")
		})
	}
}
