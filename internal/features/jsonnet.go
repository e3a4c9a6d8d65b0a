package features

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
)

// maxFileBytes is the maximum size of the features file, of each file that it imports, and of the JSON that it
// evaluates to.
const maxFileBytes = 32 << 20

// evaluateJsonnet returns the JSON that a file evaluates to. It returns a panic of the evaluator as an error, because a
// file loaded on SIGHUP must not crash the router.
func evaluateJsonnet(path string) (text []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("evaluation failed: %v", p)
		}
	}()
	source, err := readBounded(path)
	if err != nil {
		return nil, err
	}
	vm := jsonnet.MakeVM()
	vm.ErrorFormatter.SetMaxStackTraceSize(2)
	vm.Importer(&folderImporter{dir: filepath.Dir(path), imported: map[string]jsonnet.Contents{}})
	out, err := vm.EvaluateAnonymousSnippet(filepath.Base(path), source)
	if err != nil {
		return nil, errors.New(oneLine(err.Error()))
	}
	if len(out) > maxFileBytes {
		return nil, fmt.Errorf("evaluates to %d bytes, at most %d are allowed", len(out), maxFileBytes)
	}
	return []byte(out), nil
}

// oneLine replaces each run of white space, including newlines, by one space, and trims both ends.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// readBounded returns the content of a file. It fails unless the file is regular and has at most maxFileBytes.
func readBounded(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() {
		return "", fmt.Errorf("mode %s, must be a regular file", info.Mode().Type())
	}
	if info.Size() > maxFileBytes {
		return "", fmt.Errorf("%d bytes, at most %d are allowed", info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

// folderImporter imports files only from the folder of the features file and the folders inside it. A copy of the
// folder therefore has all imports. Names are relative to that folder, also in imported files.
type folderImporter struct {
	dir      string
	imported map[string]jsonnet.Contents // by name; go-jsonnet requires the same Contents for each import of a file
}

// Import implements jsonnet.Importer.
func (f *folderImporter) Import(_, name string) (jsonnet.Contents, string, error) {
	if !filepath.IsLocal(name) {
		return jsonnet.Contents{}, "", fmt.Errorf("import %q: not in the folder of the features file", name)
	}
	if contents, known := f.imported[name]; known {
		return contents, name, nil
	}
	text, err := readBounded(filepath.Join(f.dir, name))
	if err != nil {
		return jsonnet.Contents{}, "", fmt.Errorf("import %q: %w", name, err)
	}
	contents := jsonnet.MakeContents(text)
	f.imported[name] = contents
	return contents, name, nil
}
