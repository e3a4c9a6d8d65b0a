// Package schema prints the JSON Schema of the features file. It is a package of its own because the router does not
// need it.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/invopop/jsonschema"

	"spantack/internal/features"
)

// definitionNames gives the names of definitions that differ from those of their Go types. Readers of the schema may
// refer to them, so that renaming a type must not change them.
var definitionNames = map[string]string{
	"cells.TenantKey":       "Key",
	"features.Migration":    "Moves",
	"features.OriginLimit":  "Shield",
	"features.Rollout":      "Stage",
	"features.Topology":     "Shape",
	"hierarchy.Link":        "Way",
	"hierarchy.Origin":      "Head",
	"hierarchy.ParentGroup": "Area",
	"hierarchy.Site":        "Depot",
	"hierarchy.Topology":    "Shape",
	"migration.Migration":   "Move",
	"rollout.Rollout":       "Stage",
}

// definitionName returns the name of a type's definition, or "" for that of the type itself.
func definitionName(t reflect.Type) string { return definitionNames[t.String()] }

// JSON returns the schema, indented.
func JSON() ([]byte, error) {
	r := jsonschema.Reflector{ExpandedStruct: true, Namer: definitionName}
	text, err := json.Marshal(r.Reflect(&features.File{}))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}
