// Package testfixture reads stored documents, messages and command lines. Tests check that the program still handles
// them in the same way. Only tests import the package.
package testfixture

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// ReadAndWrite decodes a JSON file. It fails the test unless the value equals want and passes the checks of
// ReadBack.
func ReadAndWrite[T any](t testing.TB, file, indent string, want T) {
	t.Helper()
	if got := ReadBack[T](t, file, indent); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, want %+v", file, got, want)
	}
}

// ReadBack decodes a JSON file and returns the value. It fails the test if the file has a field that the type lacks, or
// if the value does not encode to the bytes of the file. If indent is not empty, the encoding is indented by it and
// ends in a newline.
func ReadBack[T any](t testing.TB, file, indent string) (got T) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	encoded, err := encode(got, indent)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !bytes.Equal(encoded, text) {
		t.Errorf("%s: encoded as %s, want %s", file, encoded, text)
	}
	return got
}

// encode returns the JSON of value. With an indent it is indented and ends in a newline.
func encode(value any, indent string) ([]byte, error) {
	if indent == "" {
		return json.Marshal(value)
	}
	text, err := json.MarshalIndent(value, "", indent)
	return append(text, '\n'), err
}
