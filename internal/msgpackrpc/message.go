package msgpackrpc

import "fmt"

// messageKind is the type of a message, which is its first value.
type messageKind int64

// Message kinds of MessagePack-RPC, with the layout of the message.
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

// Number of values in a message of each kind.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// Methods that are not request classes.
const (
	methodHealth = "health" // a request; its result reports whether the router is ready
	methodCancel = "cancel" // a notification with the message ids of requests to cancel
)

// Error codes in responses.
const (
	errorRejected = "Full" // the request was not accepted; it is safe to retry after fieldRetryAfter
	// errorFailed is the code for a failed request. The response has fieldReason if the method is unknown, the request
	// is invalid, or too many responses are unwritten. It has none if the request handler failed the request.
	errorFailed = "Error"
)

// Fields of responses.
const (
	fieldReason      = "reason"
	fieldRetryAfter  = "cooldown" // milliseconds
	fieldNotModified = "keep"     // the client's cached copy is current, and the body is empty
	valueNotModified = "1"
)

// message is a request or notification with unchecked parameters.
type message struct {
	kind   messageKind
	id     uint64 // of a request; 0 for a notification
	method string
	params []any
	// incomplete is true if a string of the message was read but not kept, for lack of memory.
	incomplete bool
}

// parseMessage parses a message but does not check the parameters. Errors wrap errMalformed.
func parseMessage(v any) (m message, err error) {
	list, _ := v.([]any)
	if len(list) < notificationLength {
		return m, fmt.Errorf("%w: not a request or notification", errMalformed)
	}
	kind, isKind := list[0].(int64)
	m.kind = messageKind(kind)
	rest := list[1:]
	switch {
	case isKind && m.kind == kindRequest && len(list) == requestLength:
		id, ok := asUint64(list[1])
		if !ok {
			return m, fmt.Errorf("%w: message id is not an unsigned integer", errMalformed)
		}
		m.id = id
		rest = list[2:]
	case isKind && m.kind == kindNotification && len(list) == notificationLength:
	case isKind:
		return m, fmt.Errorf("%w: %v with %d values", errMalformed, m.kind, len(list))
	default:
		return m, fmt.Errorf("%w: not a request or notification", errMalformed)
	}
	method, methodOK := rest[0].(string)
	params, paramsOK := rest[1].([]any)
	if !methodOK || !paramsOK {
		return m, fmt.Errorf("%w: method is not a string or parameters are not an array", errMalformed)
	}
	m.method = method
	m.params = params
	return m, nil
}

// appendResponseHeader appends a response up to, but without, its error value.
func appendResponseHeader(buf []byte, id uint64) []byte {
	return appendUint(append(appendArrayHeader(buf, responseLength), byte(kindResponse)), id)
}

// appendResultHeader appends a successful response up to, but without, the two values of its result: a body or boolean,
// and the fields.
func appendResultHeader(buf []byte, id uint64) []byte {
	return appendArrayHeader(appendNil(appendResponseHeader(buf, id)), 2)
}

// appendError appends a complete error response with a code and fields.
func appendError(buf []byte, id uint64, code string, pairs ...string) []byte {
	buf = appendArrayHeader(appendResponseHeader(buf, id), 2)
	buf = appendFields(appendString(buf, code), pairs...)
	return appendNil(buf)
}
