package testfixture

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type document struct {
	Name string `json:"name"`
	Size int    `json:"size"`
}

// recordingTB is a testing.TB that records failures and continues.
type recordingTB struct {
	testing.TB
	failures []string
}

// Helper implements testing.TB.
func (r *recordingTB) Helper() {}

// Errorf implements testing.TB.
func (r *recordingTB) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// Fatalf implements testing.TB, except that it does not end the goroutine.
func (r *recordingTB) Fatalf(format string, args ...any) { r.Errorf(format, args...) }

// Guards against ReadAndWrite accepting a file that differs from the encoding of its value, or rejecting one that is
// equal to it.
func TestReadAndWriteReportsDifferences(t *testing.T) {
	want := document{"a", 1}
	for _, test := range []struct{ name, text, indent, failure string }{
		{"compact", `{"name":"a","size":1}`, "", ""},
		{"indented", "{\n \"name\": \"a\",\n \"size\": 1\n}\n", " ", ""},
		{"no newline at the end", "{\n \"name\": \"a\",\n \"size\": 1\n}", " ", "encoded as"},
		{"other order of fields", `{"size":1,"name":"a"}`, "", "encoded as"},
		{"missing field", `{"name":"a"}`, "", "encoded as"},
		{"other value", `{"name":"a","size":2}`, "", "read as"},
		{"field that the type lacks", `{"name":"a","size":1,"more":1}`, "", "unknown field"},
		{"invalid JSON", `{`, "", "unexpected EOF"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "document.json")
			if err := os.WriteFile(file, []byte(test.text), 0o644); err != nil {
				t.Fatal(err)
			}
			r := &recordingTB{}
			ReadAndWrite(r, file, test.indent, want)
			failures := strings.Join(r.failures, "\n")
			if (failures == "") != (test.failure == "") || !strings.Contains(failures, test.failure) {
				t.Errorf("failed with %q, want a text with %q", failures, test.failure)
			}
		})
	}
}
