package testfixture

import (
	"encoding/hex"
	"os"
	"strconv"
	"strings"
	"testing"
)

// HexLines reads recorded messages of a binary protocol from a file of lines "name: hex". It returns them by name.
func HexLines(t testing.TB, file string) map[string][]byte {
	t.Helper()
	messages := map[string][]byte{}
	for name, digits := range namedLines(t, file) {
		message, err := hex.DecodeString(digits)
		if err != nil || len(message) == 0 {
			t.Fatalf("%s: %s: %q: %v", file, name, digits, err)
		}
		messages[name] = message
	}
	return messages
}

// QuotedLines reads recorded messages of a text protocol from a file of lines `name: "text"`, quoted as in Go. It
// returns them by name.
func QuotedLines(t testing.TB, file string) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for name, quoted := range namedLines(t, file) {
		message, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %s: %s: %v", file, name, quoted, err)
		}
		messages[name] = message
	}
	return messages
}

// namedLines reads a file of lines "name: value" and returns the values by name.
func namedLines(t testing.TB, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		values[name] = value
	}
	return values
}
