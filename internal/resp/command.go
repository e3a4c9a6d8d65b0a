package resp

import (
	"math"
	"strconv"
	"strings"

	"spantack/internal/router"
	"spantack/routing"
)

// The verbs of commands. A command is the array of a verb, the request's id and, of a GET, its fields and body.
const (
	verbGet  = "GET"
	verbDrop = "DROP"
)

// fetchFlagWords are the wire's words for the bits of an attempt's FetchFlags, in the order in which they are written.
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

// appendDrop appends the command that gives up the attempt of a request.
func appendDrop(buf []byte, id string) []byte {
	return AppendArray(buf, []byte(verbDrop), []byte(id))
}

// fieldList is a command's fields as name=value pairs with commas between them.
type fieldList struct {
	strings.Builder
}

// add appends a field; an empty value leaves it out.
func (l *fieldList) add(name, value string) {
	if value == "" {
		return
	}
	if l.Len() > 0 {
		l.WriteByte(',')
	}
	l.WriteString(name + "=" + value)
}

// formatFetchFlags joins the words of the bits that are set.
func formatFetchFlags(flags routing.FetchFlags) string {
	var words []string
	for _, bit := range fetchFlagWords {
		if flags&bit.flag != 0 {
			words = append(words, bit.word)
		}
	}
	return strings.Join(words, "+")
}

// floorMillis formats milliseconds rounded down, so that an age limit never admits more than was meant, but to 1 at
// least: a 0 on the wire means the class's own limit.
func floorMillis(ms float64) string {
	return strconv.FormatFloat(max(math.Floor(ms), 1), 'f', 0, 64)
}
