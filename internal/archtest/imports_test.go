// Package archtest tests which package may import which.
package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// allowed says which of our own packages those of each place may import; tests are free.
var allowed = map[string][]string{
	"routing":        {},
	"core":           {"routing", "core"},
	"internal":       {"core", "routing", "internal"},
	"emulator":       {"core", "routing"},
	"lab":            {"core", "routing", "internal", "emulator", "standin", "lab"},
	"standin":        {"internal", "standin"},
	"cmd/spantack":   {"core", "routing", "internal"},
	"cmd/spanctl":    {"core", "internal"},
	"cmd/spanlab":    {"lab", "emulator"},
	"cmd/simadapter": {"routing", "internal"},
}

// pure places do no I/O and read no clock.
var pure = []string{"routing", "core", "emulator"}

var (
	outside = []string{"net", "net/http", "os", "os/exec", "os/signal", "io/fs", "syscall", "crypto/tls", "math/rand", "crypto/rand", "embed"}
	clocks  = regexp.MustCompile(`\btime\.(Now|Sleep|After|AfterFunc|NewTimer|NewTicker|Since|Tick)\(`)
)

func TestImportsPointOneWay(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	err = filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		files++
		for _, fault := range faults(filepath.ToSlash(rel), string(text)) {
			t.Error(fault)
		}
		return nil
	})
	if err != nil || files < 40 {
		t.Fatalf("%d files looked at: %v", files, err)
	}
}

// faults of one file against the rules.
func faults(path, text string) (out []string) {
	place, _, _ := strings.Cut(path, "/")
	if place == "cmd" {
		place = strings.Join(strings.Split(path, "/")[:2], "/")
	}
	may, known := allowed[place]
	if !known {
		return []string{path + ": in no known place"}
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
	if err != nil {
		return []string{err.Error()}
	}
	for _, i := range f.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			return []string{err.Error()}
		}
		if own, is := strings.CutPrefix(name, "spantack/"); is {
			top, _, _ := strings.Cut(own, "/")
			if !slices.Contains(may, top) {
				out = append(out, path+" imports "+name)
			}
		} else if slices.Contains(pure, place) && slices.Contains(outside, name) {
			out = append(out, path+" imports "+name)
		}
	}
	if slices.Contains(pure, place) && clocks.MatchString(text) {
		out = append(out, path+" reads a clock: "+clocks.FindString(text))
	}
	return out
}

// The rules find what they are there to find.
func TestFaultsAreFound(t *testing.T) {
	for path, text := range map[string]string{
		"core/x/x.go":          "package x\nimport \"net\"\n",
		"core/x/y.go":          "package x\nimport \"time\"\nvar now = time.Now()\n",
		"routing/x.go":         "package routing\nimport \"spantack/core/cells\"\n",
		"emulator/x.go":        "package emulator\nimport \"spantack/internal/clock\"\n",
		"cmd/spantack/x.go":    "package main\nimport \"spantack/lab\"\n",
		"internal/router/x.go": "package router\nimport \"spantack/standin/cache\"\n",
		"elsewhere/x.go":       "package elsewhere\n",
	} {
		if got := faults(path, text); len(got) != 1 {
			t.Errorf("%s: %v", path, got)
		}
	}
}
