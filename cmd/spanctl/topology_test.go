package main

import (
	"strings"
	"testing"
)

const topologyText = `{ shape: { enabled: true, version: 1, head: { name: 'head', kbPerS: 900 },
  areas: [{ name: 'north', servers: ['n-'] }, { name: 'south', servers: ['s-'] }],
  depots: [{ name: 'd1', kbPerS: 1000 }, { name: 'd2', kbPerS: 1000 }],
  ways: [
    { from: 'd1', to: 'north', kbPerS: 2000, ms: 9 }, { from: 'd1', to: 'south', kbPerS: 600, ms: 30 },
    { from: 'd2', to: 'south', kbPerS: 2000, ms: 9 }, { from: 'd2', to: 'north', kbPerS: 600, ms: 30 },
    { from: 'north', to: 'head', kbPerS: 3000, ms: 20 }, { from: 'south', to: 'head', kbPerS: 3000, ms: 20 },
  ] } }`

// Guards against wrong levels, missed changes, and fills beyond the capacity of a parent group or the origin. Also
// guards against accepting a topology that has a cycle.
func TestCommandsOnTopologies(t *testing.T) {
	writeFile := newFileWriter(t)
	one := writeFile("one.jsonnet", topologyText)
	second := strings.NewReplacer("version: 1", "version: 2", "kbPerS: 900", "kbPerS: 500").Replace(topologyText)
	two := writeFile("two.jsonnet", second)
	loop := writeFile("loop.jsonnet", strings.Replace(topologyText, "{ from: 'south', to: 'head', kbPerS: 3000, ms: 20 }",
		"{ from: 'south', to: 'north', kbPerS: 9 }, { from: 'north', to: 'south', kbPerS: 9 }", 1))
	off := writeFile("off.jsonnet", "{}")
	runCases(t, one, []commandCase{
		{"check F", "shape: on, version 1, 2 sites, 2 parent groups, 6 links\n", ""},
		{"check " + loop, "", "shape.ways[6]: invalid topology: cycle: north > south > north"},
		{"topology show " + off, "", "the topology (shape) is off"},
		{"topology show F", "parent group south, level 1, servers s-: fills from head\n" +
			"site d1, level 2, 1000 KB/s: fills from north, south\n", ""},
		{"topology diff F " + two, "head office head, 900 KB/s: now head, 500 KB/s\n", ""},
		{"topology plan F --bears north=3000;south=3000", "site d1, 1000 KB/s: north 50.0%, south 50.0%\n", ""},
		{"topology plan F --bears north=3000", "site d2, 1000 KB/s: north 60.0%; no capacity for 40.0%\n", ""},
		{"topology plan " + two + " --bears north=3000", "origin head: 500 of 500 KB/s\n", ""},
		{"topology plan F --bears north=3000;south=3000 --warm south=0.1", "parent group south: 300 of 300 KB/s\n", ""},
		{"topology plan F --bears east=3000", "", `unknown parent group "east"`},
		{"topology plan F --bears north=-1", "", "invalid allocation problem: area north"},
	})
}
