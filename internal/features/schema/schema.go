// Package schema generates the JSON Schema of the features file. It is separate from package features because the
// router does not need it.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/invopop/jsonschema"

	"spantack/internal/features"
)

// definitionNames maps Go types to the names of their definitions in the schema, where the two differ. Users of the
// schema may refer to these names, so they must stay the same when a type is renamed.
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

// definitionName returns the name of the definition of a type. If it is empty, the schema uses the name of the Go type.
func definitionName(t reflect.Type) string { return definitionNames[t.String()] }

// JSON returns the schema as indented JSON that ends in a newline.
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
