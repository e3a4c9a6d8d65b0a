package lab

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/google/go-jsonnet"
)

//go:embed experiments
var experimentFiles embed.FS

// Names lists the experiments.
func Names() []string {
	var names []string
	entries, err := fs.ReadDir(experimentFiles, "experiments")
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if name, is := strings.CutSuffix(e.Name(), ".jsonnet"); is {
			names = append(names, name)
		}
	}
	return names
}

// embeddedImporter reads from the embedded folder and nowhere else.
type embeddedImporter struct{ contents map[string]jsonnet.Contents }

// Import is for jsonnet.Importer.
func (i *embeddedImporter) Import(_, name string) (jsonnet.Contents, string, error) {
	at := path.Join("experiments", path.Clean("/" + name)[1:])
	if c, known := i.contents[at]; known {
		return c, at, nil
	}
	text, err := experimentFiles.ReadFile(at)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	c := jsonnet.MakeContents(string(text))
	i.contents[at] = c
	return c, at, nil
}

// Load reads an experiment; each change is a path and a value, as "days.unique.flood.times=5".
func Load(name string, changes ...string) (*Experiment, error) {
	if !slices.Contains(Names(), name) {
		return nil, fmt.Errorf("experiment %q: there is none; see spanlab list", name)
	}
	vm := jsonnet.MakeVM()
	vm.Importer(&embeddedImporter{map[string]jsonnet.Contents{}})
	text, err := vm.EvaluateFile(name + ".jsonnet")
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	var doc any
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	for _, c := range changes {
		if err := applyChange(doc, c); err != nil {
			return nil, err
		}
	}
	again, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	e := &Experiment{}
	dec := json.NewDecoder(bytes.NewReader(again))
	dec.DisallowUnknownFields()
	if err := dec.Decode(e); err != nil {
		return nil, fmt.Errorf("experiment %q: %w", name, err)
	}
	e.Name = name
	return e, nil
}

// applyChange sets what a path leads to.
func applyChange(doc any, text string) error {
	at, value, ok := strings.Cut(text, "=")
	if !ok || at == "" {
		return fmt.Errorf("--set %q: not of the form path=value", text)
	}
	var v any
	if json.Unmarshal([]byte(value), &v) != nil {
		v = value
	}
	steps := strings.Split(at, ".")
	for i, step := range steps {
		m, is := doc.(map[string]any)
		if !is {
			return fmt.Errorf("--set %q: %s holds no fields", text, strings.Join(steps[:i], "."))
		}
		if i == len(steps)-1 {
			m[step] = v
			return nil
		}
		next, known := m[step]
		if !known {
			return fmt.Errorf("--set %q: there is no %s", text, strings.Join(steps[:i+1], "."))
		}
		doc = next
	}
	return nil
}
