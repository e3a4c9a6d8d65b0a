package msgpackrpc

import (
	"errors"
	"fmt"
	"strconv"

	"spantack/internal/router"
)

// Bounds of a request's fields.
const (
	maxTokenLength   = 64
	idLength         = 16
	maxClientTimeout = 3.6e6 // milliseconds
	maxChunk         = 1 << 20
	maxPurgeGroup    = 255
	maxSizeKB        = 1e9
)

// Names of a request's fields on the wire.
const (
	fieldID             = "ref"
	fieldObject         = "lookup"
	fieldIdempotencyKey = "replay"
	fieldClientETag     = "cached"
	fieldClientTimeout  = "allow" // milliseconds
	fieldChunk          = "block"
	fieldPurgeGroup     = "family"
	fieldSizeKB         = "room"
)

var (
	errNoFields = errors.New("no fields")
	errNoBody   = errors.New("no body")
)

// fieldError names a field of a request that can't be used. Clients get its text as the reason.
type fieldError struct{ field string }

// Error implements error.
func (e *fieldError) Error() string { return "field " + e.field + " can't be used" }

// parseRequest reads the parameters [FIELDS, BODY] of a request of a class. An error is a *fieldError where a field is
// at fault: the first one, in the order in which they are read.
func parseRequest(class string, params []any, keyRequired bool) (request router.Request, err error) {
	if len(params) != 2 {
		return request, fmt.Errorf("%d parameters", len(params))
	}
	values, ok := params[0].(map[string]any)
	if !ok {
		return request, errNoFields
	}
	body, err := parseBody(params[1])
	if err != nil {
		return request, err
	}
	fields := requestFields{values: values}
	request.Class = class
	request.Body = body
	request.ID = fields.hexID(fieldID, true)
	request.Object = fields.hexID(fieldObject, false)
	request.IdempotencyKey = fields.token(fieldIdempotencyKey, keyRequired)
	request.ClientETag = fields.token(fieldClientETag, false)
	request.ClientTimeout = fields.number(fieldClientTimeout, true, 1, maxClientTimeout)
	request.Chunk = fields.integer(fieldChunk, maxChunk)
	request.PurgeGroup = fields.integer(fieldPurgeGroup, maxPurgeGroup)
	request.SizeKB = fields.number(fieldSizeKB, false, 0, maxSizeKB)
	return request, fields.err
}

// parseBody accepts a body, a string, or nil for none.
func parseBody(param any) ([]byte, error) {
	switch body := param.(type) {
	case []byte:
		return body, nil
	case string:
		return []byte(body), nil
	case nil:
		return nil, nil
	}
	return nil, errNoBody
}

// requestFields reads the fields of a request, which are strings all. What it returns counts only while err is nil.
type requestFields struct {
	values map[string]any
	err    error // the first field that can't be used
}

// fail notes that a field can't be used.
func (f *requestFields) fail(name string) {
	if f.err == nil {
		f.err = &fieldError{field: name}
	}
}

// token reads a field that is passed on as it is.
func (f *requestFields) token(name string, isRequired bool) string {
	v, isPresent := f.values[name]
	s, isString := v.(string)
	switch {
	case isPresent && (!isString || !isToken(s)):
		f.fail(name)
	case isRequired && s == "":
		f.fail(name)
	}
	return s
}

// hexID reads a field that is an id.
func (f *requestFields) hexID(name string, isRequired bool) string {
	s := f.token(name, isRequired)
	if s != "" && !isHexID(s) {
		f.fail(name)
	}
	return s
}

// number reads a number from minimum to maximum; an optional one that is absent is 0.
func (f *requestFields) number(name string, isRequired bool, minimum, maximum float64) float64 {
	v, isPresent := f.values[name]
	if !isPresent && !isRequired {
		return 0
	}
	s, _ := v.(string)
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || !(n >= minimum && n <= maximum) { // NaN is neither
		f.fail(name)
	}
	return n
}

// integer reads an optional integer from 0 to maximum. A fraction is an error: it must not become another chunk.
func (f *requestFields) integer(name string, maximum int64) int64 {
	v, isPresent := f.values[name]
	if !isPresent {
		return 0
	}
	s, _ := v.(string)
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil || int64(n) > maximum {
		f.fail(name)
	}
	return int64(n)
}

// isHexID reports whether s is an id as the protocol writes it. Caches answer other ids with an error, or close the
// connection on them.
func isHexID(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == idLength
}

// isToken reports whether s can be passed on in a list of name=value pairs: a comma or a line end in it would forge
// other fields.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(s) <= maxTokenLength
}
