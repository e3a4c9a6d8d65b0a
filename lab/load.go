package lab

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/google/go-jsonnet"
)

//go:embed experiments
var experimentFiles embed.FS

const (
	experimentDir    = "experiments"
	experimentSuffix = ".jsonnet"
)

// Names returns the names of the experiments, sorted.
func Names() (names []string) {
	entries, err := fs.ReadDir(experimentFiles, experimentDir)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		if name, isExperiment := strings.CutSuffix(entry.Name(), experimentSuffix); isExperiment {
			names = append(names, name)
		}
	}
	return names
}

// embeddedImporter resolves jsonnet imports from the embedded folder only.
type embeddedImporter struct {
	contents map[string]jsonnet.Contents // by path; jsonnet.Importer must return the same value for the same path
}

// Import implements jsonnet.Importer.
func (i *embeddedImporter) Import(_, name string) (jsonnet.Contents, string, error) {
	file := path.Join(experimentDir, path.Clean("/" + name)[1:])
	if contents, known := i.contents[file]; known {
		return contents, file, nil
	}
	text, err := experimentFiles.ReadFile(file)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	contents := jsonnet.MakeContents(string(text))
	i.contents[file] = contents
	return contents, file, nil
}

// Load reads an experiment and applies changes to it. Each change is a path and a value, such as
// "days.unique.flood.times=5". The error names the experiment, or the change that can't be applied.
func Load(name string, changes ...string) (*Experiment, error) {
	if !slices.Contains(Names(), name) {
		return nil, fmt.Errorf("experiment %q does not exist; see spanlab list", name)
	}
	doc, err := readDocument(name)
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	for _, text := range changes {
		if err := applyChange(doc, text); err != nil {
			return nil, fmt.Errorf("--set %q: %w", text, err)
		}
	}
	e, err := decodeExperiment(doc)
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	e.Name = name
	return e, nil
}

// readDocument evaluates the jsonnet file of an experiment and returns it as decoded JSON.
func readDocument(name string) (doc any, err error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&embeddedImporter{map[string]jsonnet.Contents{}})
	text, err := vm.EvaluateFile(name + experimentSuffix)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal([]byte(text), &doc)
	return doc, err
}

// decodeExperiment converts decoded JSON to an experiment. An unknown field is an error.
func decodeExperiment(doc any) (*Experiment, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	e := &Experiment{}
	err = decoder.Decode(e)
	return e, err
}

// errNotAChange is the error for a change without a path or without "=".
var errNotAChange = errors.New("not of the form path=value")

// applyChange sets the field at a path. A value that is not JSON is taken as a string. All elements of the path except
// the last must exist.
func applyChange(doc any, text string) error {
	fieldPath, valueText, isChange := strings.Cut(text, "=")
	if !isChange || fieldPath == "" {
		return errNotAChange
	}
	var value any
	if json.Unmarshal([]byte(valueText), &value) != nil {
		value = valueText
	}
	elements := strings.Split(fieldPath, ".")
	for i, element := range elements {
		fields, isObject := doc.(map[string]any)
		if !isObject {
			return fmt.Errorf("%s is not an object", strings.Join(elements[:i], "."))
		}
		if i == len(elements)-1 {
			fields[element] = value
			return nil
		}
		next, known := fields[element]
		if !known {
			return fmt.Errorf("%s does not exist", strings.Join(elements[:i+1], "."))
		}
		doc = next
	}
	return nil
}
