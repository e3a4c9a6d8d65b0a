package resp

import (
	"fmt"
	"strconv"
	"strings"

	"spantack/internal/router"
	"spantack/routing"
)

// The words of responses: how an attempt ended at its server.
const (
	wordServed      = "OK"
	wordNotModified = "SAME"
	wordMiss        = "MISS"
	wordRejected    = "BUSY"
	wordError       = "ERR"
	wordSkipped     = "VOID"
)

// noFields stands for an empty list of fields.
const noFields = "-"

// maxSourceWait bounds the wait for a source that a response may tell, in milliseconds.
const maxSourceWait = 1e9

var outcomesByWord = map[string]routing.AttemptOutcome{
	wordServed:      routing.OutcomeServed,
	wordNotModified: routing.OutcomeServed,
	wordMiss:        routing.OutcomeMiss,
	wordRejected:    routing.OutcomeRejected,
	wordError:       routing.OutcomeError,
	wordSkipped:     routing.OutcomeSkipped,
}

var cacheStatusesByWord = map[string]routing.CacheStatus{
	"TCP_HIT":       routing.CacheHit,
	"TCP_MISS":      routing.FilledFromSource,
	"TCP_MISS_ROOT": routing.FilledFromOrigin,
	"TCP_JOIN":      routing.JoinedFill,
	"TCP_STALE":     routing.ServedStale,
	"PEER_DENY":     routing.SourceRejected,
	"PEER_DEAD":     routing.SourceUnreachable,
	"PEER_MISS":     routing.SourceMissed,
	"FILL_FULL":     routing.FillsExhausted,
	"ROOT_FAIL":     routing.OriginFailed,
}

// parseResponse parses the array ID WORD [FIELDS [BODY]]. Unknown fields are skipped; an unknown word is an error, as
// is a value of a known field that can't be used. Errors wrap errMalformed.
func parseResponse(parts [][]byte) (id string, result router.AttemptResult, err error) {
	if len(parts) < 2 || len(parts) > bodyIndex+1 {
		return "", result, fmt.Errorf("%w: %d parts", errMalformed, len(parts))
	}
	word := string(parts[1])
	outcome, known := outcomesByWord[word]
	if !known {
		return "", result, fmt.Errorf("%w: unknown word %.20q", errMalformed, word)
	}
	result.Outcome = outcome
	result.NotModified = word == wordNotModified
	if word == wordServed {
		if len(parts) <= bodyIndex {
			return "", result, fmt.Errorf("%w: OK without a body", errMalformed)
		}
		result.Body = parts[bodyIndex]
	}
	if len(parts) > 2 && string(parts[2]) != noFields {
		if err := parseFields(&result, string(parts[2])); err != nil {
			return "", result, err
		}
	}
	return string(parts[0]), result, nil
}

// parseFields reads the name=value pairs of a response into its result.
func parseFields(result *router.AttemptResult, fields string) error {
	for pair := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "n":
			status, known := cacheStatusesByWord[value]
			if !known {
				return fmt.Errorf("%w: unknown note %.20q", errMalformed, value)
			}
			result.CacheStatus = int(status)
		case "l":
			result.LoadReport = value // checked by the router, which knows the fields that the settings name
		case "t0":
			// A value that can't be used counts as absent: no response is decided by it alone.
			if madeAt, err := strconv.ParseUint(value, 10, 53); err == nil {
				result.CopyMadeAt = float64(madeAt)
			}
		case "slow":
			wait, err := strconv.ParseFloat(value, 64)
			if err != nil || !(wait >= 0 && wait < maxSourceWait) {
				return fmt.Errorf("%w: slow=%.20q", errMalformed, value)
			}
			result.SourceWait = wait
		}
	}
	return nil
}
