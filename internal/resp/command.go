package resp

import (
	"math"
	"strconv"
	"strings"

	"spantack/internal/router"
	"spantack/routing"
)

// Verbs of commands. A command is an array of a verb, the request's id and, for a GET, the fields and the body.
const (
	verbGet  = "GET"
	verbDrop = "DROP"
)

// fetchFlagWords are the words of the protocol for the bits of FetchFlags, in the order in which they are written.
var fetchFlagWords = []struct {
	flag routing.FetchFlags
	word string
}{
	{routing.FetchCollapse, "join"},
	{routing.FetchCachedOnly, "held"},
	{routing.FetchSkipParentStore, "nocopy"},
	{routing.FetchRevalidate, "renew"},
}

// appendGet appends the command that sends an attempt to its server.
func appendGet(buf []byte, attempt router.Attempt) []byte {
	var fields fieldList
	fields.add("sort", attempt.Class)
	fields.add("asset", attempt.Object)
	fields.add("slice", strconv.FormatInt(attempt.Chunk, 10))
	fields.add("patience", floorMillis(attempt.Timeout))
	fields.add("op", attempt.IdempotencyKey)
	fields.add("next", attempt.Source)
	if attempt.RetentionRank > 0 {
		fields.add("admit", strconv.Itoa(attempt.RetentionRank))
	}
	if attempt.MaxAge > 0 {
		fields.add("agelim", floorMillis(attempt.MaxAge))
	}
	fields.add("ways", formatFetchFlags(attempt.FetchFlags))
	fields.add("cached", attempt.ClientETag)
	return AppendArray(buf, []byte(verbGet), []byte(attempt.ID), []byte(fields.String()), attempt.Body)
}

// appendDrop appends the command that cancels the attempt of a request at its server.
func appendDrop(buf []byte, id string) []byte {
	return AppendArray(buf, []byte(verbDrop), []byte(id))
}

// fieldList builds the fields of a command: name=value pairs, separated by commas.
type fieldList struct {
	strings.Builder
}

// add appends a field, or nothing if the value is empty.
func (l *fieldList) add(name, value string) {
	if value == "" {
		return
	}
	if l.Len() > 0 {
		l.WriteByte(',')
	}
	l.WriteString(name + "=" + value)
}

// formatFetchFlags returns the words of the bits that are set, joined by "+".
func formatFetchFlags(flags routing.FetchFlags) string {
	var words []string
	for _, bit := range fetchFlagWords {
		if flags&bit.flag != 0 {
			words = append(words, bit.word)
		}
	}
	return strings.Join(words, "+")
}

// floorMillis formats milliseconds, rounded down so that an age limit is never exceeded. The result is at least 1,
// since an agelim of 0 means the class's own limit in the protocol.
func floorMillis(ms float64) string {
	return strconv.FormatFloat(max(math.Floor(ms), 1), 'f', 0, 64)
}
