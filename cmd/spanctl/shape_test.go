package main

import (
	"strings"
	"testing"
)

const shapeText = `{ shape: { enabled: true, version: 1, head: { name: 'head', kbPerS: 900 },
  areas: [{ name: 'north', servers: ['n-'] }, { name: 'south', servers: ['s-'] }],
  depots: [{ name: 'd1', kbPerS: 1000 }, { name: 'd2', kbPerS: 1000 }],
  ways: [{ from: 'd1', to: 'north', kbPerS: 2000, ms: 9 }, { from: 'd1', to: 'south', kbPerS: 600, ms: 30 }, { from: 'd2', to: 'south', kbPerS: 2000, ms: 9 },
    { from: 'd2', to: 'north', kbPerS: 600, ms: 30 }, { from: 'north', to: 'head', kbPerS: 3000, ms: 20 }, { from: 'south', to: 'head', kbPerS: 3000, ms: 20 }] } }`

// A shape is shown, compared and planned with; one with a circle is refused with its name.
func TestCommandsOnShapes(t *testing.T) {
	put := folder(t)
	one := put("one.jsonnet", shapeText)
	two := put("two.jsonnet", strings.NewReplacer("version: 1", "version: 2", "kbPerS: 900", "kbPerS: 500").Replace(shapeText))
	loop := put("loop.jsonnet", strings.Replace(shapeText, "{ from: 'south', to: 'head', kbPerS: 3000, ms: 20 }", "{ from: 'south', to: 'north', kbPerS: 9 }, { from: 'north', to: 'south', kbPerS: 9 }", 1))
	off := put("off.jsonnet", "{}")
	for _, c := range []struct{ args, out, err string }{
		{"check " + one, "shape: on, version 1, 2 depots, 2 areas, 6 ways\n", ""},
		{"check " + loop, "", "shape.ways[6]: invalid topology: a circle: north > south > north"},
		{"shape show " + off, "", "the shape is off"},
		{"shape show " + one, "area south, level 1, servers s-: fills from head\ndepot d1, level 2, 1000 KB/s: fills from north, south\n", ""},
		{"shape diff " + one + " " + two, "head office head, 900 KB/s: now head, 500 KB/s\n", ""},
		{"shape plan " + one + " --bears north=3000;south=3000", "depot d1, 1000 KB/s: north 50.0%, south 50.0%\n", ""},
		{"shape plan " + one + " --bears north=3000", "depot d2, 1000 KB/s: north 60.0%; no room for 40.0%\n", ""},
		{"shape plan " + two + " --bears north=3000", "head office head: 500 of 500 KB/s\n", ""},
		{"shape plan " + one + " --bears north=3000;south=3000 --warm south=0.1", "area south: 300 of 300 KB/s\n", ""},
		{"shape plan " + one + " --bears east=3000", "", `"east" is no area`},
		{"shape plan " + one + " --bears north=-1", "", "invalid allocation problem: area north"},
	} {
		command(t, c.args, c.out, c.err)
	}
}
