// Package schema prints the JSON Schema of the features file. It stands apart because the router has no use for it.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/invopop/jsonschema"

	"spantack/internal/features"
)

// JSON is the schema, indented.
func JSON() ([]byte, error) {
	r := jsonschema.Reflector{ExpandedStruct: true}
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
