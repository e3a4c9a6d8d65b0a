package msgpackrpc

import (
	"errors"
	"fmt"
	"strconv"

	"spantack/internal/router"
)

// Limits of the fields of a request.
const (
	maxTokenLength   = 64
	idLength         = 16
	maxClientTimeout = 3.6e6 // milliseconds
	maxChunk         = 1 << 20
	maxPurgeGroup    = 255
	maxSizeKB        = 1e9
)

// Field names of a request on the wire.
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

// fieldError is the error of an invalid request field. Clients receive its text as the reason.
type fieldError struct{ field string }

// Error implements error.
func (e *fieldError) Error() string { return "field " + e.field + " can't be used" }

// parseRequest parses the parameters [FIELDS, BODY] of a request. If fields are invalid, the error is a *fieldError for
// the first one in the order of parsing.
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

// parseBody returns a body that is sent as binary or as a string. It returns nil for nil.
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

// requestFields parses the fields of a request, all of which are strings. The returned values are valid only if err is
// nil after all fields have been parsed.
type requestFields struct {
	values map[string]any
	err    error // *fieldError of the first invalid field
}

// fail records that a field is invalid, unless an invalid field is recorded already.
func (f *requestFields) fail(name string) {
	if f.err == nil {
		f.err = &fieldError{field: name}
	}
}

// token returns a field that is forwarded unchanged, or "" if the field is optional and absent.
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

// hexID returns a field that is an id, or "" if the field is optional and absent.
func (f *requestFields) hexID(name string, isRequired bool) string {
	s := f.token(name, isRequired)
	if s != "" && !isHexID(s) {
		f.fail(name)
	}
	return s
}

// number returns a number from minimum to maximum, or 0 if the field is optional and absent.
func (f *requestFields) number(name string, isRequired bool, minimum, maximum float64) float64 {
	v, isPresent := f.values[name]
	if !isPresent && !isRequired {
		return 0
	}
	s, _ := v.(string)
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || !(n >= minimum && n <= maximum) { // the negated condition also rejects NaN
		f.fail(name)
	}
	return n
}

// integer returns an optional integer from 0 to maximum. A fraction is an error, since rounding it would select another
// chunk or purge group.
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

// isHexID reports whether s is an id of the protocol: 16 hexadecimal digits. Edge caches respond to other ids with an
// error or close the connection.
func isHexID(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == idLength
}

// isToken reports whether s can be forwarded in a list of name=value pairs. A comma or a line end in it would inject
// other fields. The empty string is a token.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(s) <= maxTokenLength
}
