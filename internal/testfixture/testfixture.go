// Package testfixture holds stored documents against the types that they are read into.
package testfixture

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// ReadAndWrite decodes a file of JSON and fails the test unless the file holds no field that the type lacks, its value is
// want, and encoding that value gives the same bytes again. An indent other than the empty one is that of the encoding,
// which then ends in a newline.
func ReadAndWrite[T any](t testing.TB, file, indent string, want T) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got T
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, want %+v", file, got, want)
	}
	again, err := json.Marshal(got)
	if err == nil && indent != "" {
		again, err = json.MarshalIndent(got, "", indent)
		again = append(again, '\n')
	}
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !bytes.Equal(again, text) {
		t.Errorf("%s: written as %s, want %s", file, again, text)
	}
}
