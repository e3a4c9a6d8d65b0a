package archtest

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	repositoryRoot = "../.."
	outerNamesPage = "docs/outer-names.txt"
)

// outerName is a name that is used outside the process: by clients, servers, peers, files, command lines or readers of
// logs.
type outerName struct {
	name    string
	heading string
	folders []string // at least one of them must have the name in its source
}

// Guards against a rename in the code that also changes a name that other processes, stored files, scripts or operators
// refer to. Each name of docs/outer-names.txt must appear as a whole word in at least one of the folders of its
// heading: in a string literal, a struct tag, a file or folder name, or a settings file. Test files do not count.
func TestOuterNamesAreKept(t *testing.T) {
	textsOfFolder := map[string][]string{}
	names := readOuterNames(t)
	if len(names) < 1000 { // the file is truncated or not parsed correctly
		t.Fatalf("%s: %d names, want at least 1000", outerNamesPage, len(names))
	}
	for _, name := range names {
		if !isInAnyFolder(t, name, textsOfFolder) {
			t.Errorf("%s: %q is no longer in %s", name.heading, name.name, strings.Join(name.folders, ", "))
		}
	}
}

// Guards against names that are found only as a part of a longer word or in another case.
func TestOuterNameMatchesWholeWords(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       bool
	}{
		{"limit", "limits", false},
		{"limit", "overLimit", false},
		{"limit", "Limit", false},
		{"limit", "RESULT limit=%d", true},
		{"not ", "not ", true},
		{".aborted", "results.a.aborted", true},
		{"dry-run", "name:\"dry-run\"", true},
	} {
		if got := wholeWord(c.name).MatchString(c.text); got != c.want {
			t.Errorf("%q in %q: %v, want %v", c.name, c.text, got, c.want)
		}
	}
}

// readOuterNames returns the names of docs/outer-names.txt with the heading and folders of each.
func readOuterNames(t *testing.T) []outerName {
	t.Helper()
	page, err := os.Open(filepath.Join(repositoryRoot, outerNamesPage))
	if err != nil {
		t.Fatal(err)
	}
	defer page.Close()
	var names []outerName
	heading := ""
	var folders []string
	scanner := bufio.NewScanner(page)
	for scanner.Scan() {
		line := scanner.Text()
		title, isHeading := strings.CutPrefix(line, "## ")
		switch {
		case isHeading:
			colon := strings.LastIndex(title, ": ")
			if colon < 0 {
				t.Fatalf("heading %q names no folders", title)
			}
			heading = title[:colon]
			folders = strings.Fields(title[colon+1:])
		case line == "", strings.HasPrefix(line, "# "):
		default:
			names = append(names, outerName{line, heading, folders})
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return names
}

// isInAnyFolder reports whether the name occurs in the texts of at least one of its folders. textsOfFolder caches the
// texts of each folder.
func isInAnyFolder(t *testing.T, name outerName, textsOfFolder map[string][]string) bool {
	t.Helper()
	pattern := wholeWord(name.name)
	for _, folder := range name.folders {
		if textsOfFolder[folder] == nil {
			textsOfFolder[folder] = readTexts(t, filepath.Join(repositoryRoot, folder))
		}
		for _, text := range textsOfFolder[folder] {
			if pattern.MatchString(text) {
				return true
			}
		}
	}
	return false
}

// wholeWord returns a pattern that matches name, but not as a part of a longer word.
func wholeWord(name string) *regexp.Regexp {
	pattern := regexp.QuoteMeta(name)
	if isWordByte(name[0]) {
		pattern = `(^|\W)` + pattern
	}
	if isWordByte(name[len(name)-1]) {
		pattern += `(\W|$)`
	}
	return regexp.MustCompile(pattern)
}

func isWordByte(b byte) bool {
	return b == '_' || '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// readTexts returns the name of a folder, the names of its files without extension, the string literals and struct tags
// of its Go files, and the text of its settings files (.toml). Test files are left out.
func readTexts(t *testing.T, folder string) []string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	texts := []string{filepath.Base(folder)}
	for _, entry := range entries {
		path := filepath.Join(folder, entry.Name())
		extension := filepath.Ext(path)
		if entry.IsDir() || strings.HasSuffix(path, "_test.go") {
			continue
		}
		texts = append(texts, strings.TrimSuffix(entry.Name(), extension))
		switch extension {
		case ".go":
			texts = append(texts, readLiterals(t, path)...)
		case ".toml":
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, string(content))
		}
	}
	return texts
}

// readLiterals returns the string literals and struct tags of a Go file, without those of its imports.
func readLiterals(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if n.Kind != token.STRING {
				break
			}
			text, err := strconv.Unquote(n.Value)
			if err != nil {
				t.Fatalf("%s: %s: %v", path, n.Value, err)
			}
			texts = append(texts, text)
		}
		return true
	})
	return texts
}
