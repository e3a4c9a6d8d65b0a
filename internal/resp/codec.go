// Package resp speaks with depot caches, parents and the origin: commands and answers as RESP arrays of bulk
// strings over pooled connections that carry many attempts each.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"spantack/internal/router"
	"spantack/routing"
)

// MaxBodySize is the longest body that an answer may have; an object has 240,000 bytes at most.
const MaxBodySize = 256 << 10

// The most that an answer may hold besides; lengths are checked before anything is allocated.
const (
	maxArrayLength = 8
	maxStringSize  = 4 << 10
	maxLengthLine  = 16
	bodyIndex      = 3 // ID WORD FIELDS BODY
)

var errMalformed = errors.New("malformed answer")

// ReadArray reads one array of bulk strings: a command or an answer. Lengths are checked before anything is allocated.
func ReadArray(in *bufio.Reader) ([][]byte, error) {
	n, err := readLength(in, '*', maxArrayLength)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, n)
	for i := range parts {
		limit := maxStringSize
		if i == bodyIndex {
			limit = MaxBodySize
		}
		size, err := readLength(in, '$', limit)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, unexpectedEOF(err)
		}
		if text[size] != '\r' || text[size+1] != '\n' {
			return nil, fmt.Errorf("%w: bulk string without its end", errMalformed)
		}
		parts[i] = text[:size:size]
	}
	return parts, nil
}

// unexpectedEOF makes an end of stream within an answer unlike one between answers.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads a line such as "$12\r\n".
func readLength(in *bufio.Reader, kind byte, limit int) (int, error) {
	var line [maxLengthLine]byte
	for i := range line {
		b, err := in.ReadByte()
		if err != nil {
			if i > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		if line[i] = b; b != '\n' {
			continue
		}
		if i < 3 || line[0] != kind || line[i-1] != '\r' {
			break
		}
		n, err := strconv.ParseUint(string(line[1:i-1]), 10, 31)
		if err != nil || int(n) > limit {
			break
		}
		return int(n), nil
	}
	return 0, fmt.Errorf("%w: no length after %q", errMalformed, kind)
}

// AppendArray adds an array of bulk strings to buf.
func AppendArray(buf []byte, parts ...[]byte) []byte {
	buf = append(strconv.AppendInt(append(buf, '*'), int64(len(parts)), 10), "\r\n"...)
	for _, p := range parts {
		buf = append(strconv.AppendInt(append(buf, '$'), int64(len(p)), 10), "\r\n"...)
		buf = append(append(buf, p...), "\r\n"...)
	}
	return buf
}

var fetchFlagWords = []struct {
	bit  routing.FetchFlags
	word string
}{{routing.FetchCollapse, "join"}, {routing.FetchCachedOnly, "held"}, {routing.FetchSkipParentStore, "nocopy"}, {routing.FetchRevalidate, "renew"}}

// appendGet adds the command that puts an attempt to its server.
func appendGet(buf []byte, a router.Attempt) []byte {
	var fields strings.Builder
	put := func(name, value string) {
		if value == "" {
			return
		}
		if fields.Len() > 0 {
			fields.WriteByte(',')
		}
		fields.WriteString(name + "=" + value)
	}
	put("sort", a.Class)
	put("asset", a.Object)
	put("slice", strconv.FormatInt(a.Chunk, 10))
	put("patience", floorMillis(a.Timeout))
	put("op", a.IdempotencyKey)
	put("next", a.Source)
	if a.RetentionRank > 0 {
		put("admit", strconv.Itoa(a.RetentionRank))
	}
	if a.MaxAge > 0 {
		put("agelim", floorMillis(a.MaxAge))
	}
	var how []string
	for _, w := range fetchFlagWords {
		if a.FetchFlags&w.bit != 0 {
			how = append(how, w.word)
		}
	}
	put("ways", strings.Join(how, "+"))
	put("cached", a.ClientETag)
	return AppendArray(buf, []byte("GET"), []byte(a.ID), []byte(fields.String()), a.Body)
}

// floorMillis rounds down, so that an age limit never lets in more than was meant, but not to 0: that means another
// thing.
func floorMillis(ms float64) string {
	return strconv.FormatFloat(max(math.Floor(ms), 1), 'f', 0, 64)
}

var outcomesByWord = map[string]routing.AttemptOutcome{"OK": routing.OutcomeServed, "SAME": routing.OutcomeServed, "MISS": routing.OutcomeMiss, "BUSY": routing.OutcomeRejected,
	"ERR": routing.OutcomeError, "VOID": routing.OutcomeSkipped}

// cacheStatusesByWord in the order of the simulator's numbers, from 1.
var cacheStatusesByWord = map[string]int{"TCP_HIT": 1, "TCP_MISS": 2, "TCP_MISS_ROOT": 3, "TCP_JOIN": 4, "TCP_STALE": 5,
	"PEER_DENY": 6, "PEER_DEAD": 7, "PEER_MISS": 8, "FILL_FULL": 9, "ROOT_FAIL": 10}

// parseResponse reads ID WORD FIELDS BODY. Unknown fields are skipped, unknown words are not.
func parseResponse(parts [][]byte) (id string, end router.AttemptResult, err error) {
	if len(parts) < 2 || len(parts) > bodyIndex+1 {
		return "", end, fmt.Errorf("%w: %d parts", errMalformed, len(parts))
	}
	id = string(parts[0])
	word := string(parts[1])
	code, known := outcomesByWord[word]
	if !known {
		return "", end, fmt.Errorf("%w: unknown word %.20q", errMalformed, word)
	}
	end.Outcome, end.NotModified = code, word == "SAME"
	if word == "OK" {
		if len(parts) <= bodyIndex {
			return "", end, fmt.Errorf("%w: OK without a body", errMalformed)
		}
		end.Body = parts[bodyIndex]
	}
	if len(parts) <= 2 || string(parts[2]) == "-" {
		return id, end, nil
	}
	for pair := range strings.SplitSeq(string(parts[2]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "n":
			if end.CacheStatus, known = cacheStatusesByWord[value]; !known {
				return "", end, fmt.Errorf("%w: unknown note %.20q", errMalformed, value)
			}
		case "l":
			end.LoadReport = value // the router reads it: what it must hold stands in the settings
		case "t0":
			if made, bad := strconv.ParseUint(value, 10, 53); bad == nil { // else it is not told: no answer rests on it alone
				end.CopyMadeAt = float64(made)
			}
		case "slow":
			end.SourceWait, err = strconv.ParseFloat(value, 64)
			if err != nil || !(end.SourceWait >= 0 && end.SourceWait < 1e9) {
				return "", end, fmt.Errorf("%w: slow=%.20q", errMalformed, value)
			}
		}
	}
	return id, end, nil
}
