// Package testfixture holds stored documents against the types that they are read into.
package testfixture

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// ReadAndWrite is ReadBack where the value read must also be want.
func ReadAndWrite[T any](t testing.TB, file, indent string, want T) {
	t.Helper()
	if got := ReadBack[T](t, file, indent); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, want %+v", file, got, want)
	}
}

// ReadBack decodes a file of JSON and fails the test unless the file holds no field that the type lacks, and encoding the
// value gives the same bytes again. An indent other than the empty one is that of the encoding, which then ends in a
// newline.
func ReadBack[T any](t testing.TB, file, indent string) (got T) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Fatalf("%s: %v", file, err)
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
	return got
}
