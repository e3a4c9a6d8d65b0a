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

// Names lists the experiments, sorted.
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

// embeddedImporter reads from the embedded folder and nowhere else.
type embeddedImporter struct {
	contents map[string]jsonnet.Contents // read so far, by path; the interpreter wants one value for each
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

// Load reads an experiment. Each change is a path and a value, such as "days.unique.flood.times=5". Its error names
// the experiment, or the change.
func Load(name string, changes ...string) (*Experiment, error) {
	if !slices.Contains(Names(), name) {
		return nil, fmt.Errorf("experiment %q: there is none; see spanlab list", name)
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

// readDocument evaluates the file of an experiment.
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

// decodeExperiment decodes a document; a field that there is not is an error.
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

// errNotAChange is the error for a change without a path or a value.
var errNotAChange = errors.New("not of the form path=value")

// applyChange sets what a path leads to. A value that is not JSON is a string. Only the last step of the path may be
// new.
func applyChange(doc any, text string) error {
	fieldPath, valueText, isChange := strings.Cut(text, "=")
	if !isChange || fieldPath == "" {
		return errNotAChange
	}
	var value any
	if json.Unmarshal([]byte(valueText), &value) != nil {
		value = valueText
	}
	steps := strings.Split(fieldPath, ".")
	for i, step := range steps {
		fields, isObject := doc.(map[string]any)
		if !isObject {
			return fmt.Errorf("%s holds no fields", strings.Join(steps[:i], "."))
		}
		if i == len(steps)-1 {
			fields[step] = value
			return nil
		}
		next, known := fields[step]
		if !known {
			return fmt.Errorf("there is no %s", strings.Join(steps[:i+1], "."))
		}
		doc = next
	}
	return nil
}
