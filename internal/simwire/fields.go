package simwire

import (
	"fmt"
	"strconv"
	"strings"
)

// fields are the name=value pairs of a line, separated by spaces.
type fields struct {
	text     string
	lastName string // name of the field whose value extends to the end of the line; empty: none
}

// forEach calls set for each pair, in order, until the first error. The error names the field.
func (f fields) forEach(set func(name, value string) error) error {
	for f.text != "" {
		name, value, err := f.next()
		if err != nil {
			return err
		}
		if err := set(name, value); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// next removes the first pair and returns it.
func (f *fields) next() (name, value string, err error) {
	name, rest, isPair := strings.Cut(f.text, "=")
	if !isPair || name == "" || strings.Contains(name, " ") {
		return "", "", fmt.Errorf("not a name=value pair: %q", f.text)
	}
	if name == f.lastName {
		f.text = ""
		return name, rest, nil
	}
	value, f.text, _ = strings.Cut(rest, " ")
	return name, value, nil
}

// require returns a missingFieldError for the first of the given fields that the line does not have, or nil. The line
// must be well-formed.
func (f fields) require(names ...string) error {
	for _, name := range names {
		if !f.has(name) {
			return missingFieldError(name)
		}
	}
	return nil
}

// has reports whether the line has a field of the given name.
func (f fields) has(target string) bool {
	for f.text != "" {
		name, _, err := f.next()
		if err != nil {
			return false
		}
		if name == target {
			return true
		}
	}
	return false
}

// parseInt parses a decimal integer into field.
func parseInt[T ~int | ~int64](field *T, value string) error {
	n, err := strconv.ParseInt(value, 10, 64)
	*field = T(n)
	return err
}

// parseCount parses a number of lines, which must not be negative.
func parseCount(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if n < 0 {
		return 0, errNegativeCount
	}
	return n, err
}

// parseFloat parses a number into field.
func parseFloat(field *float64, value string) (err error) {
	*field, err = strconv.ParseFloat(value, 64)
	return err
}

// parseBool parses 0 or 1 into field.
func parseBool(field *bool, value string) error {
	if value != "0" && value != "1" {
		return errNotBoolean
	}
	*field = value == "1"
	return nil
}

// parseLoadReport parses comma-separated numbers and appends them to field.
func parseLoadReport(field *[]float64, value string) error {
	for part := range strings.SplitSeq(value, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return err
		}
		*field = append(*field, n)
	}
	return nil
}
