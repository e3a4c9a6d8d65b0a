package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"spantack/routing"
)

// AppendAction appends the line for an instance's action to buf. It appends nothing for ActionReportOverload, since the
// protocol does not carry reports between instances.
func AppendAction(buf []byte, instance string, action routing.Action) []byte {
	switch action.Kind {
	case routing.ActionReportOverload:
		return buf
	case routing.ActionSend:
		buf = appendSend(buf, instance, &action)
	case routing.ActionReject:
		buf = appendVerb(buf, "TURN_AWAY", instance)
		buf = appendText(buf, fieldRequest, action.RequestID)
		buf = appendNonZero(buf, "CoolDown", action.RetryAfter)
	case routing.ActionFail:
		buf = appendVerb(buf, "GIVE_UP", instance)
		buf = appendText(buf, fieldRequest, action.RequestID)
	case routing.ActionCancel:
		buf = appendVerb(buf, "CANCEL", instance)
		buf = appendText(buf, fieldRequest, action.RequestID)
		buf = appendNumber(buf, "Leg", int64(action.Attempt))
	case routing.ActionSetTimer:
		buf = appendVerb(buf, "SET_TIMER", instance)
		buf = appendNumber(buf, "FromNow", action.Delay)
		buf = appendNumber(buf, "Ctx", action.TimerToken)
	case routing.ActionProbe:
		buf = appendVerb(buf, "TEST", instance)
		buf = appendText(buf, fieldServer, action.Server)
	case routing.ActionSubscribe:
		buf = appendVerb(buf, "SUBSCRIBE", instance)
		buf = appendBool(buf, "Want", action.Enabled)
	case routing.ActionResolve:
		buf = appendVerb(buf, "RESOLVE", instance)
	case routing.ActionLog:
		buf = appendVerb(buf, "WRITE_LOG", instance)
		buf = appendText(buf, "Line", singleLine(action.LogText))
	}
	return append(buf, '\n')
}

// appendSend appends an ActionSend. The verb depends on whether the action has a source that may fill a miss.
func appendSend(buf []byte, instance string, action *routing.Action) []byte {
	verb := "ASSIGN"
	hasSource := action.Source != ""
	if hasSource {
		verb = "ANSWER_FROM"
	}
	buf = appendVerb(buf, verb, instance)
	buf = appendText(buf, fieldRequest, action.RequestID)
	buf = appendNonZero(buf, "GiveUpAfter", action.Timeout)
	buf = appendText(buf, fieldServer, action.Server)
	if hasSource {
		buf = appendText(buf, "Feeder", action.Source)
		buf = appendNumber(buf, "Retain", int64(action.RetentionRank))
		buf = appendNonZero(buf, "Oldness", action.MaxAge)
		buf = appendNonZero(buf, "How", int64(action.FetchFlags))
	}
	return buf
}

// AppendPanic appends the line that reports a panic in an instance.
func AppendPanic(buf []byte, instance, text string) []byte {
	return fmt.Appendf(buf, "PANIC %s=%s Line=%s\n", fieldInstance, instance, singleLine(text))
}

// singleLine replaces line ends by spaces, since a line end would start another action.
func singleLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// appendVerb appends the verb and the instance, with which each line begins.
func appendVerb(buf []byte, verb, instance string) []byte {
	return appendText(append(buf, verb...), fieldInstance, instance)
}

// appendName appends a field up to its value.
func appendName(buf []byte, name string) []byte {
	return append(append(append(buf, ' '), name...), '=')
}

// appendText appends a field, unless value is empty.
func appendText(buf []byte, name, value string) []byte {
	if value == "" {
		return buf
	}
	return append(appendName(buf, name), value...)
}

// appendNumber appends a decimal field.
func appendNumber(buf []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendName(buf, name), value, 10)
}

// appendNonZero appends a decimal field, unless value is 0.
func appendNonZero(buf []byte, name string, value int64) []byte {
	if value == 0 {
		return buf
	}
	return appendNumber(buf, name, value)
}

// appendBool appends a field with the value 0 or 1.
func appendBool(buf []byte, name string, value bool) []byte {
	if value {
		return appendNumber(buf, name, 1)
	}
	return appendNumber(buf, name, 0)
}
