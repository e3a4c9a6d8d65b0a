package routing

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// policyFiles are the files that make the decisions. deploy/balancer.toml must list them under policy.
var policyFiles = []string{
	"engine.go", "requests.go", "selection.go", "rendezvous.go", "concurrency.go", "origin_fills.go", "slow_start.go",
	"circuit_breaker.go", "outcomes.go", "idempotency.go", "lost_responses.go", "freshness.go", "purges.go",
	"endpoints.go", "subsets.go", "estimates.go",
}

// The deploy file must list exactly the policy files of the package.
func TestDeployFileListsPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	for _, match := range regexp.MustCompile(`"routing/([^"]*)"`).FindAllStringSubmatch(string(deploy), -1) {
		named = append(named, match[1])
	}
	slices.Sort(named)
	if want := slices.Sorted(slices.Values(policyFiles)); !slices.Equal(named, want) {
		t.Errorf("deploy/balancer.toml lists %v, want %v", named, want)
	}
	for _, name := range policyFiles {
		if _, err := os.Stat(name); err != nil {
			t.Error(err)
		}
	}
}

// Each file is limited to lines of 120 characters, and each function outside of tests to 60 lines.
func TestSourceKeepsLengthLimits(t *testing.T) {
	const (
		maxLineLength    = 120 // characters, a tab counted as 4
		maxFunctionLines = 60
	)
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) < len(policyFiles) {
		t.Fatalf("found too few Go files: %d, error %v", len(names), err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if length := len([]rune(strings.ReplaceAll(line, "\t", "    "))); length > maxLineLength {
				t.Errorf("%s:%d: %d characters", name, i+1, length)
			}
		}
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, name, text, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			function, isFunction := declaration.(*ast.FuncDecl)
			if !isFunction {
				continue
			}
			lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
			if lines > maxFunctionLines {
				t.Errorf("%s: %s has %d lines", name, function.Name, lines)
			}
		}
	}
}
