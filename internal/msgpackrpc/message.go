package msgpackrpc

import "fmt"

// messageKind is the first value of a message.
type messageKind int64

// The kinds of message.
const (
	kindRequest      messageKind = 0 // [kind, id, method, params]
	kindResponse     messageKind = 1 // [kind, id, error, result]
	kindNotification messageKind = 2 // [kind, method, params]
)

// String returns the name of the kind.
func (k messageKind) String() string {
	switch k {
	case kindRequest:
		return "request"
	case kindResponse:
		return "response"
	case kindNotification:
		return "notification"
	}
	return fmt.Sprintf("kind %d", int64(k))
}

// Values in each kind of message.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// The methods that are no request class.
const (
	methodHealth = "health" // a request whose result is whether the router is ready
	methodCancel = "cancel" // a notification with the ids of requests that are given up
)

// The words of errors in responses.
const (
	errorRejected = "Full"  // not accepted: a retry after fieldRetryAfter does no harm
	errorFailed   = "Error" // with fieldReason where the router itself found one
)

// Fields of responses.
const (
	fieldReason      = "reason"
	fieldRetryAfter  = "cooldown" // milliseconds
	fieldNotModified = "keep"     // the client's own copy is current: the body is empty
	valueNotModified = "1"
)

// message is a request or notification as it came.
type message struct {
	kind   messageKind
	id     uint64 // of a request
	method string
	params []any
}

// parseMessage checks the frame only; the parameters are checked where they are used. Errors wrap errMalformed.
func parseMessage(v any) (m message, err error) {
	list, _ := v.([]any)
	if len(list) < notificationLength {
		return m, fmt.Errorf("%w: no request", errMalformed)
	}
	kind, isKind := list[0].(int64)
	m.kind = messageKind(kind)
	rest := list[1:]
	switch {
	case isKind && m.kind == kindRequest && len(list) == requestLength:
		id, ok := asUint64(list[1])
		if !ok {
			return m, fmt.Errorf("%w: message id", errMalformed)
		}
		m.id = id
		rest = list[2:]
	case isKind && m.kind == kindNotification && len(list) == notificationLength:
	case isKind:
		return m, fmt.Errorf("%w: %v of %d values", errMalformed, m.kind, len(list))
	default:
		return m, fmt.Errorf("%w: no request", errMalformed)
	}
	method, methodOK := rest[0].(string)
	params, paramsOK := rest[1].([]any)
	if !methodOK || !paramsOK {
		return m, fmt.Errorf("%w: method or parameters", errMalformed)
	}
	m.method = method
	m.params = params
	return m, nil
}

// appendResponseHeader appends the beginning of a response, up to its error.
func appendResponseHeader(buf []byte, id uint64) []byte {
	return appendUint(append(appendArrayHeader(buf, responseLength), byte(kindResponse)), id)
}

// appendResultHeader appends the beginning of a response without an error, up to the body or truth value of its result.
// What follows is that and the result's fields.
func appendResultHeader(buf []byte, id uint64) []byte {
	return appendArrayHeader(appendNil(appendResponseHeader(buf, id)), 2)
}

// appendError appends a complete response with an error: its word and fields.
func appendError(buf []byte, id uint64, word string, pairs ...string) []byte {
	buf = appendArrayHeader(appendResponseHeader(buf, id), 2)
	buf = appendFields(appendString(buf, word), pairs...)
	return appendNil(buf)
}
