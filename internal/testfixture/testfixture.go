// Package testfixture compares stored documents with the types that they are read into. Only tests import it.
package testfixture

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// ReadAndWrite is ReadBack, and also fails the test unless the value read is want.
func ReadAndWrite[T any](t testing.TB, file, indent string, want T) {
	t.Helper()
	if got := ReadBack[T](t, file, indent); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, want %+v", file, got, want)
	}
}

// ReadBack decodes a file of JSON and returns the value. It fails the test unless the file holds no field that the type
// lacks, and encoding the value gives the same bytes again. An indent other than the empty one is that of the encoding,
// which then ends in a newline.
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
	again, err := encode(got, indent)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if !bytes.Equal(again, text) {
		t.Errorf("%s: written as %s, want %s", file, again, text)
	}
	return got
}

// encode is the reverse of what ReadBack reads.
func encode(value any, indent string) ([]byte, error) {
	if indent == "" {
		return json.Marshal(value)
	}
	text, err := json.MarshalIndent(value, "", indent)
	return append(text, '\n'), err
}
