// Package archtest tests properties of the whole source tree: which package may import which, and that names used
// outside the program are kept.
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

// allowedImports lists, for each top-level folder and each command, the top-level folders from which its packages may
// import. Test files may import any package.
var allowedImports = map[string][]string{
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

// pureFolders are the top-level folders whose packages do no I/O, read no clock and use no random source of their own.
// The caller passes in the time and random numbers, and does the I/O.
var pureFolders = []string{"routing", "core", "emulator"}

var (
	impurePackages = []string{"net", "net/http", "os", "os/exec", "os/signal", "io/fs", "syscall", "crypto/tls",
		"math/rand", "crypto/rand", "embed"}
	clockCalls = regexp.MustCompile(`\btime\.(Now|Sleep|After|AfterFunc|NewTimer|NewTicker|Since|Tick)\(`)
)

// Guards against imports that break the layering, and against I/O, clocks and randomness in pure packages.
func TestImportsFollowLayers(t *testing.T) {
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
		t.Fatalf("%d files checked, want at least 40: %v", files, err)
	}
}

// violations returns a message for each forbidden import of a file, and one for its first clock call if the file must
// not read a clock. A file in an unknown folder or with a syntax error gives one message. path is relative to the
// repository root.
func violations(path, text string) (found []string) {
	folder, _, _ := strings.Cut(path, "/")
	if folder == "cmd" {
		folder = strings.Join(strings.Split(path, "/")[:2], "/")
	}
	mayImport, isKnown := allowedImports[folder]
	if !isKnown {
		return []string{path + ": not in a known folder"}
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
	if err != nil {
		return []string{err.Error()}
	}
	isPure := slices.Contains(pureFolders, folder)
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

// Guards against rules that no longer find the violations that they are meant to find.
func TestEachRuleReportsItsViolation(t *testing.T) {
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
			t.Errorf("%s: got violations %v, want one", path, got)
		}
	}
}
