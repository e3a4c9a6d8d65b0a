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

// allowed says which places of this module the packages of each place may import. Test files may import any.
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

// pure places do no I/O, read no clock and draw no random numbers of their own: the caller gives them all of that.
var pure = []string{"routing", "core", "emulator"}

var (
	impurePackages = []string{"net", "net/http", "os", "os/exec", "os/signal", "io/fs", "syscall", "crypto/tls",
		"math/rand", "crypto/rand", "embed"}
	clockCalls = regexp.MustCompile(`\btime\.(Now|Sleep|After|AfterFunc|NewTimer|NewTicker|Since|Tick)\(`)
)

func TestImportsPointOneWay(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
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
		for _, violation := range violations(filepath.ToSlash(rel), string(text)) {
			t.Error(violation)
		}
		return nil
	})
	if err != nil || files < 40 {
		t.Fatalf("%d files checked: %v", files, err)
	}
}

// violations returns what a file imports or calls against the rules.
func violations(path, text string) (found []string) {
	place, _, _ := strings.Cut(path, "/")
	if place == "cmd" {
		place = strings.Join(strings.Split(path, "/")[:2], "/")
	}
	mayImport, isKnown := allowed[place]
	if !isKnown {
		return []string{path + ": in no known place"}
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
	if err != nil {
		return []string{err.Error()}
	}
	isPure := slices.Contains(pure, place)
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return []string{err.Error()}
		}
		isForbidden := isPure && slices.Contains(impurePackages, name)
		if ownPath, isOwn := strings.CutPrefix(name, "spantack/"); isOwn {
			top, _, _ := strings.Cut(ownPath, "/")
			isForbidden = !slices.Contains(mayImport, top)
		}
		if isForbidden {
			found = append(found, path+" imports "+name)
		}
	}
	if call := clockCalls.FindString(text); isPure && call != "" {
		found = append(found, path+" reads a clock: "+call)
	}
	return found
}

// Each rule finds the violation that it is for.
func TestViolationsAreFound(t *testing.T) {
	for path, text := range map[string]string{
		"core/x/x.go":          "package x\nimport \"net\"\n",
		"core/x/y.go":          "package x\nimport \"time\"\nvar now = time.Now()\n",
		"routing/x.go":         "package routing\nimport \"spantack/core/cells\"\n",
		"emulator/x.go":        "package emulator\nimport \"spantack/internal/clock\"\n",
		"cmd/spantack/x.go":    "package main\nimport \"spantack/lab\"\n",
		"internal/router/x.go": "package router\nimport \"spantack/standin/cache\"\n",
		"elsewhere/x.go":       "package elsewhere\n",
	} {
		if got := violations(path, text); len(got) != 1 {
			t.Errorf("%s: %v", path, got)
		}
	}
}
