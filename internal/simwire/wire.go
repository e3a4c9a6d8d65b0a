// Package simwire reads batches of events from the routers' wire and prints the replies. It decides nothing.
package simwire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"spantack/routing"
)

// Message is one event on the wire: a start, a stop, or an event for a running instance.
type Message struct {
	Instance string
	IsStart  bool
	IsStop   bool
	Settings *routing.Settings
	Seed     int64
	Event    routing.Event
}

// Batch is all that came in at one time.
type Batch struct {
	Time     int64
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	input      *bufio.Reader
	lineNumber int
	// decoded settings by text, so that equal texts are decoded once; the result is never written to
	settings map[string]*routing.Settings
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, 1<<20), settings: map[string]*routing.Settings{}}
}

func (r *Reader) readLine() (string, error) {
	text, err := r.input.ReadString('\n')
	if err != nil && (err != io.EOF || text == "") {
		return "", err
	}
	r.lineNumber++
	return strings.TrimRight(text, "\r\n"), nil
}

func (r *Reader) lineError(text string, format string, args ...any) error {
	const shown = 200
	if len(text) > shown {
		text = text[:shown] + "..."
	}
	return fmt.Errorf("line %d: %s: %q", r.lineNumber, fmt.Sprintf(format, args...), text)
}

// Read returns the next batch, or io.EOF at a clean end of input.
func (r *Reader) Read() (*Batch, error) {
	var b *Batch
	rows := 0
	for {
		text, err := r.readLine()
		if err == io.EOF && b == nil {
			return nil, io.EOF
		}
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: input ends inside a batch", r.lineNumber)
		}
		if err != nil {
			return nil, err
		}
		if text == "" {
			continue
		}
		verb, rest, _ := strings.Cut(text, " ")
		f := fields{rest: rest}
		switch {
		case b == nil && verb != "ROUND":
			return nil, r.lineError(text, "a batch must begin with ROUND")
		case rows > 0 && verb != "ROW":
			return nil, r.lineError(text, "%d ROW lines missing", rows)
		case verb == "ROUND":
			if b != nil {
				return nil, r.lineError(text, "ROUND inside a batch")
			}
			b = &Batch{}
			err = f.forEach(func(k, v string) (err error) {
				if k == "Time" {
					b.Time, err = strconv.ParseInt(v, 10, 64)
				}
				return err
			}, "")
			if err == nil && !f.has("Time") {
				err = fmt.Errorf("Time is missing")
			}
		case verb == "OVER_TO_YOU":
			return b, nil
		case verb == "ROW":
			if rows == 0 {
				return nil, r.lineError(text, "ROW outside a list")
			}
			rows--
			ev := &b.Messages[len(b.Messages)-1].Event
			var row routing.Endpoint
			if row, err = parseRow(&f); err == nil {
				ev.Endpoints = append(ev.Endpoints, row)
			}
		default:
			var it Message
			it, rows, err = r.parseMessage(verb, &f)
			if err == nil && it.Instance == "" {
				err = fmt.Errorf("DirectorId is missing")
			}
			if err == nil && (it.IsStart || it.IsStop || it.Event.Kind != 0) {
				b.Messages = append(b.Messages, it)
			}
		}
		if err != nil {
			return nil, r.lineError(text, "%v", err)
		}
	}
}

// fields walks over the name=value pairs of a line.
type fields struct {
	rest  string
	names string
}

func (f *fields) has(name string) bool { return strings.Contains(f.names, " "+name+" ") }

// forEach calls fn for every pair; the value of the field named text extends to the end of the line.
func (f *fields) forEach(fn func(k, v string) error, text string) error {
	var seen strings.Builder
	rest := f.rest
	for rest != "" {
		k, after, ok := strings.Cut(rest, "=")
		if !ok || k == "" || strings.Contains(k, " ") {
			return fmt.Errorf("not a name=value pair: %q", rest)
		}
		v := after
		if k == text {
			rest = ""
		} else {
			v, rest, _ = strings.Cut(after, " ")
		}
		if err := fn(k, v); err != nil {
			return fmt.Errorf("%s: %v", k, err)
		}
		seen.WriteString(" " + k + " ")
	}
	f.names = seen.String()
	return nil
}

var eventKinds = map[string]routing.EventKind{
	"FLEET": routing.EventEndpoints, "KNOCK": routing.EventRequest, "HEADERS": routing.EventFirstByte, "RESULT": routing.EventOutcome,
	"ABORTED": routing.EventAborted, "TIMER": routing.EventTimer, "ECHO": routing.EventProbed, "REPLACED": routing.EventPurge,
}

// requiredFields names the fields without which a message means nothing.
var requiredFields = map[string][]string{
	"BORN": {"Entropy", "BootInfo"}, "FLEET": {"Mode"}, "KNOCK": {"Call", "Qos", "ExpiresIn"},
	"HEADERS": {"Call"}, "RESULT": {"Call", "Leg", "Code"}, "ABORTED": {"Call"}, "TIMER": {"Ctx"},
	"ECHO": {"Code", "Node"},
}

func (r *Reader) parseMessage(verb string, f *fields) (it Message, rows int, err error) {
	known := verb == "BORN" || verb == "SHUTDOWN" || verb == "MAIL"
	it.IsStart, it.IsStop = verb == "BORN", verb == "SHUTDOWN"
	it.Event.Kind = eventKinds[verb]
	if !known && it.Event.Kind == 0 {
		return it, 0, fmt.Errorf("unknown message %q", verb)
	}
	text := ""
	if it.IsStart {
		text = "BootInfo"
	}
	ev := &it.Event
	err = f.forEach(func(k, v string) (err error) {
		switch k {
		case "DirectorId":
			it.Instance = v
		case "Entropy":
			var u uint64
			if u, err = strconv.ParseUint(v, 10, 64); err != nil {
				it.Seed, err = strconv.ParseInt(v, 10, 64)
			} else {
				it.Seed = int64(u)
			}
		case "BootInfo":
			it.Settings = r.settings[v]
			if it.Settings == nil {
				it.Settings = &routing.Settings{}
				err = json.Unmarshal([]byte(v), it.Settings)
				r.settings[v] = it.Settings
			}
		case "Mode":
			ev.UpdateMode = routing.UpdateMode(v)
		case "Rows":
			rows, err = strconv.Atoi(v)
			if rows < 0 {
				err = fmt.Errorf("negative count")
			}
		case "Call":
			ev.RequestID = v
		case "Qos":
			ev.Class = v
		case "Account":
			ev.Tenant = v
		case "Resource":
			ev.Object = v
		case "Node":
			ev.Server = v
		case "Code":
			ev.Outcome = routing.AttemptOutcome(v)
		case "ExpiresIn":
			ev.Timeout, err = strconv.ParseInt(v, 10, 64)
		case "SizeKb":
			ev.SizeKB, err = strconv.ParseFloat(v, 64)
		case "LabelNo", "BatchId":
			ev.PurgeGroup, err = strconv.ParseInt(v, 10, 64)
		case "Slice":
			ev.Chunk, err = strconv.ParseInt(v, 10, 64)
		case "Leg":
			ev.Attempt, err = strconv.Atoi(v)
		case "Detail":
			var status int
			status, err = strconv.Atoi(v)
			ev.CacheStatus = routing.CacheStatus(status)
		case "Rtt":
			ev.ResponseTime, err = strconv.ParseInt(v, 10, 64)
		case "UpstreamWait":
			ev.UpstreamWait, err = strconv.ParseInt(v, 10, 64)
		case "Oldness":
			ev.PurgeAge, err = strconv.ParseInt(v, 10, 64)
		case "Ctx":
			ev.TimerToken, err = strconv.ParseInt(v, 10, 64)
		case "IsRetry":
			ev.IsClientRetry, err = parseBool(v)
		case "Write":
			ev.IsWrite, err = parseBool(v)
		case "NoMore":
			ev.IsFinal, err = parseBool(v)
		case "Metrics":
			for _, s := range strings.Split(v, ",") {
				x, err := strconv.ParseFloat(s, 64)
				if err != nil {
					return err
				}
				ev.LoadReport = append(ev.LoadReport, x)
			}
		}
		return err
	}, text)
	for _, name := range requiredFields[verb] {
		if err == nil && !f.has(name) {
			err = fmt.Errorf("%s is missing", name)
		}
	}
	return it, rows, err
}

func parseRow(f *fields) (row routing.Endpoint, err error) {
	err = f.forEach(func(k, v string) (err error) {
		switch k {
		case "Node":
			row.Server = v
		case "Campus":
			row.Zone = v
		case "Shape":
			row.Kind = v
		case "Group":
			row.Cell, err = strconv.ParseInt(v, 10, 64)
		case "Status":
			row.Status = routing.EndpointStatus(v)
		case "Weight":
			row.Weight, err = strconv.ParseFloat(v, 64)
		case "CameUp":
			row.StartedAt, err = strconv.ParseInt(v, 10, 64)
		}
		return err
	}, "")
	if err == nil && row.Server == "" {
		err = fmt.Errorf("Node is missing")
	}
	return row, err
}

func parseBool(v string) (bool, error) {
	if v == "0" || v == "1" {
		return v == "1", nil
	}
	return false, fmt.Errorf("want 0 or 1")
}

// AppendAction adds the line for action a of an instance to buf. What is told to peers has no line: instances share nothing here.
func AppendAction(buf []byte, instance string, a routing.Action) []byte {
	if a.Kind == routing.ActionReportOverload {
		return buf
	}
	str := func(name, v string) {
		if v != "" {
			buf = append(append(append(append(buf, ' '), name...), '='), v...)
		}
	}
	num := func(name string, v int64) {
		if v != 0 {
			buf = strconv.AppendInt(append(append(append(buf, ' '), name...), '='), v, 10)
		}
	}
	verb := func(v string) { buf = append(buf, v...); str("DirectorId", instance) }
	switch a.Kind {
	case routing.ActionSend:
		if a.Source == "" {
			verb("ASSIGN")
		} else {
			verb("ANSWER_FROM")
		}
		str("Call", a.RequestID)
		num("GiveUpAfter", a.Timeout)
		str("Node", a.Server)
		str("Feeder", a.Source)
		if a.Source != "" {
			buf = strconv.AppendInt(append(buf, " Retain="...), int64(a.RetentionRank), 10)
			num("Oldness", a.MaxAge)
			num("How", int64(a.FetchFlags))
		}
	case routing.ActionReject:
		verb("TURN_AWAY")
		str("Call", a.RequestID)
		num("CoolDown", a.RetryAfter)
	case routing.ActionFail:
		verb("GIVE_UP")
		str("Call", a.RequestID)
	case routing.ActionCancel:
		verb("CANCEL")
		str("Call", a.RequestID)
		buf = strconv.AppendInt(append(buf, " Leg="...), int64(a.Attempt), 10)
	case routing.ActionSetTimer:
		verb("SET_TIMER")
		buf = strconv.AppendInt(append(buf, " FromNow="...), a.Delay, 10)
		buf = strconv.AppendInt(append(buf, " Ctx="...), a.TimerToken, 10)
	case routing.ActionProbe:
		verb("TEST")
		str("Node", a.Server)
	case routing.ActionSubscribe:
		verb("SUBSCRIBE")
		on := byte('0')
		if a.Enabled {
			on = '1'
		}
		buf = append(append(buf, " Want="...), on)
	case routing.ActionResolve:
		verb("RESOLVE")
	case routing.ActionLog:
		verb("WRITE_LOG")
		str("Line", strings.ReplaceAll(a.LogText, "\n", " "))
	}
	return append(buf, '\n')
}

// AppendPanic adds the line that reports a failure of the decision code.
func AppendPanic(buf []byte, instance, text string) []byte {
	text = strings.ReplaceAll(text, "\n", " ")
	return fmt.Appendf(buf, "PANIC DirectorId=%s Line=%s\n", instance, text)
}
