package msgpackrpc

import (
	"fmt"
	"strconv"

	"spantack/internal/router"
)

// message is a request or notification as it came.
type message struct {
	kind   int64
	id     uint64
	method string
	params []any
}

// parseMessage checks the frame alone; what the parameters hold is checked where they are used.
func parseMessage(v any) (m message, err error) {
	list, _ := v.([]any)
	if len(list) < 3 {
		return m, fmt.Errorf("%w: no request", errMalformed)
	}
	kind, kindOK := list[0].(int64)
	m.kind = kind
	rest := list[1:]
	switch {
	case kindOK && kind == kindRequest && len(list) == 4:
		id, ok := asUint64(list[1])
		if !ok {
			return m, fmt.Errorf("%w: message id", errMalformed)
		}
		m.id, rest = id, list[2:]
	case kindOK && kind == kindNotification && len(list) == 3:
	default:
		return m, fmt.Errorf("%w: no request", errMalformed)
	}
	method, methodOK := rest[0].(string)
	params, paramsOK := rest[1].([]any)
	if !methodOK || !paramsOK {
		return m, fmt.Errorf("%w: method or parameters", errMalformed)
	}
	m.method, m.params = method, params
	return m, nil
}

func asUint64(v any) (uint64, bool) {
	switch n := v.(type) {
	case uint64:
		return n, true
	case int64:
		return uint64(n), n >= 0
	}
	return 0, false
}

const (
	maxTokenLength   = 64
	maxClientTimeout = 3.6e6 // ms
	maxChunk         = 1 << 20
	maxPurgeGroup    = 255
)

// parseRequest reads [FIELDS, BODY]. An error names the field that can't be used.
func parseRequest(class string, params []any, keyed bool) (q router.Request, err error) {
	if len(params) != 2 {
		return q, fmt.Errorf("%d parameters", len(params))
	}
	fields, ok := params[0].(map[string]any)
	if !ok {
		return q, fmt.Errorf("no fields")
	}
	switch body := params[1].(type) {
	case []byte:
		q.Body = body
	case string:
		q.Body = []byte(body)
	case nil:
	default:
		return q, fmt.Errorf("no body")
	}
	q.Class = class
	fail := func(name string) {
		if err == nil {
			err = fmt.Errorf("field %s can't be used", name)
		}
	}
	text := func(name string, needed bool) string {
		v, present := fields[name]
		s, ok := v.(string)
		if present && (!ok || !isToken(s)) || needed && s == "" {
			fail(name)
		}
		return s
	}
	hex := func(name string, needed bool) string {
		s := text(name, needed)
		if s != "" && !isHexID(s) {
			fail(name)
		}
		return s
	}
	number := func(name string, least, most float64) float64 {
		v, present := fields[name]
		if !present && least == 0 {
			return 0
		}
		s, _ := v.(string)
		f, bad := strconv.ParseFloat(s, 64)
		if bad != nil || !(f >= least && f <= most) {
			fail(name)
		}
		return f
	}
	whole := func(name string, most int64) int64 { // a fraction must not become another part on the way
		v, present := fields[name]
		if !present {
			return 0
		}
		s, _ := v.(string)
		n, bad := strconv.ParseUint(s, 10, 63)
		if bad != nil || int64(n) > most {
			fail(name)
		}
		return int64(n)
	}
	q.ID = hex("ref", true)
	q.Object = hex("lookup", false)
	q.IdempotencyKey = text("replay", keyed)
	q.ClientETag = text("cached", false)
	q.ClientTimeout = number("allow", 1, maxClientTimeout)
	q.Chunk = whole("block", maxChunk)
	q.PurgeGroup = whole("family", maxPurgeGroup)
	q.SizeKB = number("room", 0, 1e9)
	return q, err
}

// isHexID reports that s is an id as the protocol writes it. Caches answer other ids with an error, or close on them.
func isHexID(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == 16
}

// isToken reports that s can be passed on in a list of name=value pairs: a comma or a line end in it would forge
// other fields.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(s) <= maxTokenLength
}
