// Package features reads the file in which what is new since the platform's configuration is set: Jsonnet, strictly
// decoded, checked as a whole. Nothing of a file applies unless all of it can be used.
package features

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/google/go-jsonnet"

	"spantack/core/cells"
	"spantack/core/fleet"
	"spantack/core/hierarchy"
	"spantack/core/lease"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
	"spantack/routing"
)

// maxFileBytes bounds the file, each import, and what it evaluates to.
const maxFileBytes = 32 << 20

// File is one features file. A feature that is left out is off.
type File struct {
	Cells       Cells       `json:"cells,omitempty" jsonschema_description:"tenants confined to subsets of a depot's caches; docs/cells.md"`
	Migration   Migration   `json:"moves,omitempty" jsonschema_description:"tenants on their way from cell to cell; docs/moves.md"`
	Rollout     Rollout     `json:"stage,omitempty" jsonschema_description:"a release let into cells ring by ring; docs/stages.md"`
	Topology    Topology    `json:"shape,omitempty" jsonschema_description:"who fills from whom; docs/hierarchy.md"`
	OriginLimit OriginLimit `json:"shield,omitempty" jsonschema_description:"a limit on what fills ask of the head office; docs/hierarchy.md"`
	Fleet       Fleet       `json:"fleet,omitempty" jsonschema_description:"a limit on fills that ask the head office, kept by all routers together; docs/fleet.md"`
}

// Cells is the feature of that name.
type Cells struct {
	Enabled bool `json:"enabled"`
	cells.Spec
}

// Migration is the feature of that name. It needs cells.
type Migration struct {
	Enabled bool `json:"enabled"`
	migration.Document
}

// Rollout is the feature of that name. It needs cells.
type Rollout struct {
	Enabled bool `json:"enabled"`
	rollout.Rollout
}

// Topology is the feature of that name.
type Topology struct {
	Enabled bool `json:"enabled"`
	hierarchy.Topology
}

// OriginLimit is the feature of that name.
type OriginLimit struct {
	Enabled bool `json:"enabled"`
	originlimit.Document
}

// Fleet is the feature of that name.
type Fleet struct {
	Enabled     bool    `json:"enabled"`
	OriginFills float64 `json:"asks,omitempty" jsonschema_description:"fills that ask the head office at once, of all routers, up to 1000000; 0: no such limit"`
	Floor       float64 `json:"floor,omitempty" jsonschema_description:"part of that which is split evenly and never lent, 0 to 1"`
	// Verdicts keeps routers off area caches that two depots find failing.
	Verdicts bool `json:"verdicts,omitempty" jsonschema_description:"routers keep off area caches that two depots find failing"`
	// LeaseTree has the limit kept by a tree of leases: no router hears from more than its group. Left out: one router hears from all.
	LeaseTree lease.Topology `json:"tree,omitzero" jsonschema_description:"groups that lease the limit to one another, for a fleet of many hundreds or more"`
}

// LeaseTree is the tree by which the fleet's limits are kept; nil: one router holds each.
func (f *File) LeaseTree() *lease.Topology {
	if f == nil || !f.Fleet.Enabled || reflect.DeepEqual(f.Fleet.LeaseTree, lease.Topology{}) {
		return nil
	}
	return &f.Fleet.LeaseTree
}

// VerdictsEnabled tells whether the fleet's verdicts are said and heeded.
func (f *File) VerdictsEnabled() bool { return f != nil && f.Fleet.Enabled && f.Fleet.Verdicts }

// FleetLimits are what the fleet keeps together; nil while the feature is off.
func (f *File) FleetLimits() []fleet.Limit {
	if f == nil || !f.Fleet.Enabled || f.Fleet.OriginFills == 0 {
		return nil
	}
	return []fleet.Limit{{Name: "asks", Max: f.Fleet.OriginFills, FloorFraction: f.Fleet.Floor}}
}

// ActiveOriginLimit is the shield's document; nil while the feature is off.
func (f *File) ActiveOriginLimit() *originlimit.Document {
	if f == nil || !f.OriginLimit.Enabled {
		return nil
	}
	return &f.OriginLimit.Document
}

// TopologyGraph is the shape worked out; nil while the feature is off.
func (f *File) TopologyGraph() (*hierarchy.Graph, error) {
	if f == nil || !f.Topology.Enabled {
		return nil, nil
	}
	g, err := hierarchy.Compile(&f.Topology.Topology)
	if err != nil {
		return nil, fmt.Errorf("shape.%w", err)
	}
	return g, nil
}

// ActiveRollout is the stage in force; nil while the feature is off.
func (f *File) ActiveRollout() *rollout.Rollout {
	if f == nil || !f.Rollout.Enabled {
		return nil
	}
	return &f.Rollout.Rollout
}

// ActiveMigration is the moves in force; nil while the feature is off.
func (f *File) ActiveMigration() *migration.Document {
	if f == nil || !f.Migration.Enabled {
		return nil
	}
	return &f.Migration.Document
}

// CellSpec is what to confine tenants by; nil while the feature is off.
func (f *File) CellSpec() *cells.Spec {
	if f == nil || !f.Cells.Enabled {
		return nil
	}
	return &f.Cells.Spec
}

// CellAssignment is the specification worked out; nil while the feature is off.
func (f *File) CellAssignment() (*cells.Assignment, error) {
	if spec := f.CellSpec(); spec != nil {
		return cells.Compile(spec)
	}
	return nil, nil
}

// Load evaluates, decodes and checks a file. The error is one line: file, field, value and what is allowed.
func Load(path string) (*File, error) {
	text, err := evaluateJsonnet(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and checks what a file evaluates to.
func Parse(text []byte) (*File, error) {
	var doc any
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	if err := checkStrict(doc, reflect.TypeFor[File](), ""); err != nil {
		return nil, err
	}
	f := &File{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, err
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

// validate holds the features against themselves and each other.
func (f *File) validate() error {
	if _, err := f.TopologyGraph(); err != nil {
		return err
	}
	for _, l := range f.FleetLimits() {
		if err := l.Validate(); err != nil {
			return fmt.Errorf("fleet.%w", err)
		}
	}
	if tree := f.LeaseTree(); tree != nil {
		if err := tree.Validate(); err != nil {
			return fmt.Errorf("fleet.tree.%w", err)
		}
	}
	if f.Fleet.Enabled && f.Fleet.OriginFills == 0 && !f.Fleet.Verdicts {
		return errors.New("fleet.asks: 0, and fleet.verdicts false: one of them is wanted where it is enabled")
	}
	if d := f.ActiveOriginLimit(); d != nil {
		if _, _, err := d.Config(1); err != nil {
			return fmt.Errorf("shield: %w", err)
		}
	}
	spec, doc := f.CellSpec(), f.ActiveMigration()
	if spec != nil {
		if err := spec.Check(); err != nil {
			return fmt.Errorf("cells.%w", err)
		}
	}
	switch release := f.ActiveRollout(); {
	case doc == nil && release == nil:
		return nil
	case spec == nil && doc != nil:
		return errors.New("moves.enabled: needs cells")
	case spec == nil:
		return errors.New("stage.enabled: needs cells")
	}
	if doc != nil {
		if err := doc.Validate(math.Inf(-1), nil); err != nil { // times are looked at when a router takes it in
			return fmt.Errorf("moves.%w", err)
		}
	}
	a, err := cells.Compile(spec)
	if err != nil {
		return err
	}
	return errors.Join(a.CheckMigrations(doc), a.CheckRollout(f.ActiveRollout()))
}

// CheckReplaces holds a file against the one in force at a time, Unix milliseconds: no move under way may be lost or begun too late, and a stage
// goes on with later versions only.
func (f *File) CheckReplaces(now float64, previous *File) error {
	if a, b := previous.ActiveRollout(), f.ActiveRollout(); a != nil && b != nil && a.Name == b.Name && b.Version <= a.Version && !reflect.DeepEqual(a, b) {
		return fmt.Errorf("stage.version: %d is not after %d, the one in force", b.Version, a.Version)
	}
	if previous != nil && previous.Topology.Enabled && f.Topology.Enabled {
		if a, b := &previous.Topology.Topology, &f.Topology.Topology; b.Version <= a.Version && !reflect.DeepEqual(a, b) {
			return fmt.Errorf("shape.version: %d is not after %d, the one in force", b.Version, a.Version)
		}
	}
	was, next := previous.ActiveMigration(), f.ActiveMigration()
	switch {
	case was == nil && next == nil:
		return nil
	case next == nil:
		next = &migration.Document{Version: was.Version + 1}
	case was != nil && next.Version == was.Version && reflect.DeepEqual(next, was):
		return nil // the same once more
	case was == nil:
		was = &migration.Document{}
	}
	if err := next.Validate(now, was); err != nil {
		return fmt.Errorf("moves.%w", err)
	}
	return nil
}

// CheckSettings holds a file against a router's settings: the names that it uses must be known there.
func (f *File) CheckSettings(set *routing.Settings) error {
	if f.Fleet.Enabled && (set.Hierarchy.ParentKind < 0 || set.Hierarchy.CacheStatusReporting != "all") {
		return errors.New("fleet.enabled: what asks the head office is known by a look at an area cache, and there are none or no notes tell")
	}
	spec := f.CellSpec()
	if spec == nil {
		return nil
	}
	var classes []string
	for _, c := range set.Classes {
		classes = append(classes, c.Name)
	}
	for i, k := range spec.TenantKeys {
		if k.Class != "" && !slices.Contains(classes, k.Class) {
			return fmt.Errorf("cells.keys[%d].class: %q is no class; classes are %s", i, k.Class, strings.Join(classes, ", "))
		}
	}
	for i, t := range spec.Tenants {
		for depot := range t.CellBySite {
			if len(set.Zones) > 0 && !slices.Contains(set.Zones, depot) {
				return fmt.Errorf("cells.tenants[%d].depots[%s]: no such depot; depots are %s", i, depot, strings.Join(set.Zones, ", "))
			}
		}
	}
	return nil
}

func evaluateJsonnet(path string) (text []byte, err error) {
	defer func() {
		if p := recover(); p != nil { // the evaluator's fault must not take the router down on SIGHUP
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
		return nil, errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	if len(out) > maxFileBytes {
		return nil, fmt.Errorf("evaluates to %d bytes, %d at most", len(out), maxFileBytes)
	}
	return []byte(out), nil
}

func readBounded(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return "", fmt.Errorf("no file of %d bytes at most", maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

// folderImporter imports from one folder only: a features file says all that it depends on.
type folderImporter struct {
	dir      string
	imported map[string]jsonnet.Contents
}

// Import is for jsonnet.Importer.
func (f *folderImporter) Import(_, name string) (jsonnet.Contents, string, error) {
	if !filepath.IsLocal(name) {
		return jsonnet.Contents{}, "", fmt.Errorf("import %q: not in the file's own folder", name)
	}
	if c, known := f.imported[name]; known {
		return c, name, nil
	}
	text, err := readBounded(filepath.Join(f.dir, name))
	if err != nil {
		return jsonnet.Contents{}, "", fmt.Errorf("import %q: %w", name, err)
	}
	c := jsonnet.MakeContents(text)
	f.imported[name] = c
	return c, name, nil
}

// checkStrict holds a document against a Go type: no field that the type lacks, no value of another kind.
func checkStrict(doc any, t reflect.Type, at string) error {
	wrong := func(want string) error {
		text, err := json.Marshal(doc)
		if err != nil {
			return err
		}
		if len(text) > 60 {
			text = append(text[:57:57], "..."...)
		}
		return fmt.Errorf("%s: %s is not %s", strings.TrimPrefix(at, "."), text, want)
	}
	switch t.Kind() {
	case reflect.Struct:
		m, is := doc.(map[string]any)
		if !is {
			return wrong("an object")
		}
		fields := map[string]reflect.Type{}
		collectFields(t, fields)
		var names []string
		for name := range fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var given []string
		for name := range m {
			given = append(given, name)
		}
		slices.Sort(given)
		for _, name := range given {
			ft, known := fields[name]
			if !known {
				return fmt.Errorf("%s: no such field; fields are %s", strings.TrimPrefix(at+"."+name, "."), strings.Join(names, ", "))
			}
			if err := checkStrict(m[name], ft, at+"."+name); err != nil {
				return err
			}
		}
	case reflect.Slice:
		list, is := doc.([]any)
		if !is {
			return wrong("a list")
		}
		for i, v := range list {
			if err := checkStrict(v, t.Elem(), fmt.Sprintf("%s[%d]", at, i)); err != nil {
				return err
			}
		}
	case reflect.Map:
		m, is := doc.(map[string]any)
		if !is {
			return wrong("an object")
		}
		for name, v := range m {
			if err := checkStrict(v, t.Elem(), at+"["+name+"]"); err != nil {
				return err
			}
		}
	case reflect.String:
		if _, is := doc.(string); !is {
			return wrong("a string")
		}
	case reflect.Bool:
		if _, is := doc.(bool); !is {
			return wrong("true or false")
		}
	case reflect.Float64:
		if _, is := doc.(float64); !is {
			return wrong("a number")
		}
	case reflect.Int, reflect.Int64:
		if n, is := doc.(float64); !is || n != math.Trunc(n) || math.Abs(n) > 1<<53 {
			return wrong("a whole number")
		}
	default:
		return fmt.Errorf("%s: a field of kind %s is not provided for", at, t.Kind())
	}
	return nil
}

// collectFields gathers the fields of a struct and of those embedded in it, by their names in JSON.
func collectFields(t reflect.Type, into map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			collectFields(f.Type, into)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		into[name] = f.Type
	}
}
