// Package simwire implements the simulator's protocol: it reads batches of messages for router instances, and formats
// the actions with which the instances reply. It makes no routing decisions. No other package contains the protocol's
// verbs and field names, except for READY, the end of a reply, in cmd/simadapter.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"spantack/routing"
)

// Message is a message for an instance: its start, its stop, or an event while it runs.
type Message struct {
	Instance string
	IsStart  bool
	IsStop   bool
	Settings *routing.Settings // set in a start message; shared by messages with equal text: do not modify
	Seed     int64             // set in a start message
	Event    routing.Event     // set in an event message
}

// Batch holds all messages of one simulated time.
type Batch struct {
	Time     int64 // simulated time in microseconds
	Messages []Message
}

// inputBufferSize is the size of the Reader's buffer, in bytes.
const inputBufferSize = 1 << 20

// Reader reads batches. It must not be used after an error.
type Reader struct {
	input      *bufio.Reader
	lineNumber int
	settings   map[string]*routing.Settings // decoded settings by text, so that equal texts are decoded once
}

// NewReader returns a Reader of input.
func NewReader(input io.Reader) *Reader {
	return &Reader{
		input:    bufio.NewReaderSize(input, inputBufferSize),
		settings: map[string]*routing.Settings{},
	}
}

// Each line begins with one of these verbs, or with the verb of an event (see eventKinds). A batch consists of the
// lines from verbBatch to verbBatchEnd.
const (
	verbBatch    = "ROUND"
	verbBatchEnd = "OVER_TO_YOU"
	verbStart    = "BORN"
	verbStop     = "SHUTDOWN"
	verbMail     = "MAIL" // a message between instances; ignored
	verbEndpoint = "ROW"  // an entry of the endpoint list of the preceding message
)

// Names of fields that occur in several places.
const (
	fieldInstance = "DirectorId"
	fieldTime     = "Time"
	fieldSeed     = "Entropy"
	fieldSettings = "BootInfo" // its value extends to the end of the line
	fieldRequest  = "Call"
	fieldServer   = "Node"
)

// Errors in the input.
var (
	errNoBatch            = errors.New("a batch must begin with ROUND")
	errNestedBatch        = errors.New("ROUND inside a batch")
	errUnexpectedEndpoint = errors.New("ROW outside a list")
	errNegativeCount      = errors.New("negative count")
	errNotBoolean         = errors.New("want 0 or 1")
	errTruncated          = errors.New("input ends inside a batch")
)

// missingFieldError is the name of a required field that a line does not have.
type missingFieldError string

// Error implements error.
func (e missingFieldError) Error() string { return string(e) + " is missing" }

// lineError is an error in a line of the input.
type lineError struct {
	number int
	text   string // of the line, possibly shortened
	err    error
}

// newLineError returns an error for the line that was read last.
func (r *Reader) newLineError(text string, err error) error {
	const maxShown = 200
	if len(text) > maxShown {
		text = text[:maxShown] + "..."
	}
	return &lineError{number: r.lineNumber, text: text, err: err}
}

// Error implements error.
func (e *lineError) Error() string { return fmt.Sprintf("line %d: %v: %q", e.number, e.err, e.text) }

// Unwrap returns the underlying error.
func (e *lineError) Unwrap() error { return e.err }

// readLine returns the next line without its line end.
func (r *Reader) readLine() (string, error) {
	text, err := r.input.ReadString('\n')
	if err != nil && (err != io.EOF || text == "") {
		return "", err
	}
	r.lineNumber++
	return strings.TrimRight(text, "\r\n"), nil
}

// partialBatch is a batch that is being read.
type partialBatch struct {
	batch            *Batch // nil before the first line of the batch
	missingEndpoints int    // endpoint lines of the last message that were not read yet
}

// Read returns the next batch, or io.EOF if the input ends between batches. Errors in the input name the line.
func (r *Reader) Read() (*Batch, error) {
	var partial partialBatch
	for {
		text, err := r.readLine()
		switch {
		case err == io.EOF && partial.batch == nil:
			return nil, io.EOF
		case err == io.EOF:
			return nil, fmt.Errorf("line %d: %w", r.lineNumber, errTruncated)
		case err != nil:
			return nil, err
		case text == "":
			continue
		}
		isComplete, err := r.addLine(&partial, text)
		if err != nil {
			return nil, r.newLineError(text, err)
		}
		if isComplete {
			return partial.batch, nil
		}
	}
}

// addLine adds a line to a batch. isComplete is true for the last line of the batch.
func (r *Reader) addLine(partial *partialBatch, text string) (isComplete bool, err error) {
	verb, rest, _ := strings.Cut(text, " ")
	switch {
	case partial.batch == nil && verb != verbBatch:
		return false, errNoBatch
	case partial.missingEndpoints > 0 && verb != verbEndpoint:
		return false, fmt.Errorf("%d ROW lines missing", partial.missingEndpoints)
	case verb == verbBatch && partial.batch != nil:
		return false, errNestedBatch
	case verb == verbBatch:
		partial.batch, err = parseBatch(rest)
		return false, err
	case verb == verbBatchEnd:
		return true, nil
	case verb == verbEndpoint:
		return false, partial.addEndpoint(rest)
	}
	return false, r.addMessage(partial, verb, rest)
}

// parseBatch parses the first line of a batch.
func parseBatch(text string) (*Batch, error) {
	line := fields{text: text}
	batch := &Batch{}
	err := line.forEach(func(name, value string) error {
		if name == fieldTime {
			return parseInt(&batch.Time, value)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return batch, line.require(fieldTime)
}

// addEndpoint adds an entry to the endpoint list of the last message.
func (p *partialBatch) addEndpoint(text string) error {
	if p.missingEndpoints == 0 {
		return errUnexpectedEndpoint
	}
	p.missingEndpoints--
	endpoint, err := parseEndpoint(fields{text: text})
	if err != nil {
		return err
	}
	event := &p.batch.Messages[len(p.batch.Messages)-1].Event
	event.Endpoints = append(event.Endpoints, endpoint)
	return nil
}

// addMessage parses a message for an instance and adds it to the batch.
func (r *Reader) addMessage(partial *partialBatch, verb, text string) error {
	line := fields{text: text}
	if verb == verbStart {
		line.lastName = fieldSettings
	}
	message, endpointCount, err := r.parseMessage(verb, line)
	if err != nil {
		return err
	}
	if message.Instance == "" {
		return missingFieldError(fieldInstance)
	}
	partial.missingEndpoints = endpointCount
	if verb != verbMail {
		partial.batch.Messages = append(partial.batch.Messages, message)
	}
	return nil
}

// eventKinds maps verbs to event kinds.
var eventKinds = map[string]routing.EventKind{
	"FLEET":    routing.EventEndpoints,
	"KNOCK":    routing.EventRequest,
	"HEADERS":  routing.EventFirstByte,
	"RESULT":   routing.EventOutcome,
	"ABORTED":  routing.EventAborted,
	"TIMER":    routing.EventTimer,
	"ECHO":     routing.EventProbed,
	"REPLACED": routing.EventPurge,
}

// requiredFields lists the required fields of messages, by verb.
var requiredFields = map[string][]string{
	verbStart: {fieldSeed, fieldSettings},
	"FLEET":   {"Mode"},
	"KNOCK":   {fieldRequest, "Qos", "ExpiresIn"},
	"HEADERS": {fieldRequest},
	"RESULT":  {fieldRequest, "Leg", "Code"},
	"ABORTED": {fieldRequest},
	"TIMER":   {"Ctx"},
	"ECHO":    {"Code", fieldServer},
}

// parseMessage parses the fields of a message. endpointCount is the number of endpoint lines that follow the message.
func (r *Reader) parseMessage(verb string, line fields) (message Message, endpointCount int, err error) {
	message.IsStart = verb == verbStart
	message.IsStop = verb == verbStop
	message.Event.Kind = eventKinds[verb]
	if !message.IsStart && !message.IsStop && verb != verbMail && message.Event.Kind == 0 {
		return message, 0, fmt.Errorf("unknown message %q", verb)
	}
	err = line.forEach(func(name, value string) (err error) {
		switch name {
		case fieldInstance:
			message.Instance = value
		case fieldSeed:
			message.Seed, err = parseSeed(value)
		case fieldSettings:
			message.Settings, err = r.decodeSettings(value)
		case "Rows":
			endpointCount, err = parseCount(value)
		default:
			err = setEventField(&message.Event, name, value)
		}
		return err
	})
	if err != nil {
		return message, 0, err
	}
	return message, endpointCount, line.require(requiredFields[verb]...)
}

// decodeSettings decodes the settings of an instance. Equal texts result in the same pointer.
func (r *Reader) decodeSettings(text string) (*routing.Settings, error) {
	if cached := r.settings[text]; cached != nil {
		return cached, nil
	}
	settings := &routing.Settings{}
	if err := json.Unmarshal([]byte(text), settings); err != nil {
		return nil, err
	}
	r.settings[text] = settings
	return settings, nil
}

// setEventField sets the named field of an event. It ignores unknown fields.
func setEventField(event *routing.Event, name, value string) error {
	switch name {
	case "Mode":
		event.UpdateMode = routing.UpdateMode(value)
	case fieldRequest:
		event.RequestID = value
	case "Qos":
		event.Class = value
	case "Account":
		event.Tenant = value
	case "Resource":
		event.Object = value
	case fieldServer:
		event.Server = value
	case "Code":
		event.Outcome = routing.AttemptOutcome(value)
	case "ExpiresIn":
		return parseInt(&event.Timeout, value)
	case "SizeKb":
		return parseFloat(&event.SizeKB, value)
	case "LabelNo", "BatchId":
		return parseInt(&event.PurgeGroup, value)
	case "Slice":
		return parseInt(&event.Chunk, value)
	case "Leg":
		return parseInt(&event.Attempt, value)
	case "Detail":
		return parseInt(&event.CacheStatus, value)
	case "Rtt":
		return parseInt(&event.ResponseTime, value)
	case "UpstreamWait":
		return parseInt(&event.UpstreamWait, value)
	case "Oldness":
		return parseInt(&event.PurgeAge, value)
	case "Ctx":
		return parseInt(&event.TimerToken, value)
	case "IsRetry":
		return parseBool(&event.IsClientRetry, value)
	case "Write":
		return parseBool(&event.IsWrite, value)
	case "NoMore":
		return parseBool(&event.IsFinal, value)
	case "Metrics":
		return parseLoadReport(&event.LoadReport, value)
	}
	return nil
}

// parseEndpoint parses an entry of an endpoint list, which must name its server.
func parseEndpoint(line fields) (endpoint routing.Endpoint, err error) {
	err = line.forEach(func(name, value string) error { return setEndpointField(&endpoint, name, value) })
	if err != nil {
		return endpoint, err
	}
	if endpoint.Server == "" {
		return endpoint, missingFieldError(fieldServer)
	}
	return endpoint, nil
}

// setEndpointField sets the named field of an entry. It ignores unknown fields.
func setEndpointField(endpoint *routing.Endpoint, name, value string) error {
	switch name {
	case fieldServer:
		endpoint.Server = value
	case "Campus":
		endpoint.Zone = value
	case "Shape":
		endpoint.Kind = value
	case "Group":
		return parseInt(&endpoint.Cell, value)
	case "Status":
		endpoint.Status = routing.EndpointStatus(value)
	case "Weight":
		return parseFloat(&endpoint.Weight, value)
	case "CameUp":
		return parseInt(&endpoint.StartedAt, value)
	}
	return nil
}

// parseSeed parses a seed, which is a signed or unsigned 64-bit integer.
func parseSeed(value string) (int64, error) {
	if seed, err := strconv.ParseUint(value, 10, 64); err == nil {
		return int64(seed), nil
	}
	return strconv.ParseInt(value, 10, 64)
}
