package schema

import (
	"bytes"
	"os"
	"testing"
)

// Guards against unintended changes of the schema that spanctl check --schema prints. Editors and other tools use it.
func TestSchemaMatchesStoredFile(t *testing.T) {
	want, err := os.ReadFile("testdata/schema.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := JSON()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the schema differs from testdata/schema.json:\n%s", got)
	}
}
