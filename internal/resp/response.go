package resp

import (
	"fmt"
	"strconv"
	"strings"

	"spantack/internal/router"
	"spantack/routing"
)

// Outcome words of responses: how an attempt ended at its server.
const (
	wordServed      = "OK"
	wordNotModified = "SAME"
	wordMiss        = "MISS"
	wordRejected    = "BUSY"
	wordError       = "ERR"
	wordSkipped     = "VOID"
)

// noFields represents an empty list of fields.
const noFields = "-"

// maxSourceWait bounds the wait for a source that a response may report, in milliseconds.
const maxSourceWait = 1e9

// outcomeOf returns the outcome that a word of the protocol represents.
func outcomeOf(word string) (outcome routing.AttemptOutcome, isKnown bool) {
	switch word {
	case wordServed, wordNotModified:
		return routing.OutcomeServed, true
	case wordMiss:
		return routing.OutcomeMiss, true
	case wordRejected:
		return routing.OutcomeRejected, true
	case wordError:
		return routing.OutcomeError, true
	case wordSkipped:
		return routing.OutcomeSkipped, true
	}
	return "", false
}

// cacheStatusOf returns the cache status that a word of the protocol represents.
func cacheStatusOf(word string) (status routing.CacheStatus, isKnown bool) {
	switch word {
	case "TCP_HIT":
		return routing.CacheHit, true
	case "TCP_MISS":
		return routing.FilledFromSource, true
	case "TCP_MISS_ROOT":
		return routing.FilledFromOrigin, true
	case "TCP_JOIN":
		return routing.JoinedFill, true
	case "TCP_STALE":
		return routing.ServedStale, true
	case "PEER_DENY":
		return routing.SourceRejected, true
	case "PEER_DEAD":
		return routing.SourceUnreachable, true
	case "PEER_MISS":
		return routing.SourceMissed, true
	case "FILL_FULL":
		return routing.FillLimitReached, true
	case "ROOT_FAIL":
		return routing.OriginFailed, true
	}
	return routing.CacheStatusUnknown, false
}

// parseResponse parses the array ID WORD [FIELDS [BODY]]. WORD is an outcome word. Unknown fields are skipped. An
// unknown outcome word is an error, and so is an invalid value of the fields n and slow. Errors wrap errMalformed.
func parseResponse(parts [][]byte) (id string, result router.AttemptResult, err error) {
	if len(parts) < 2 || len(parts) > bodyIndex+1 {
		return "", result, fmt.Errorf("%w: %d strings in the array", errMalformed, len(parts))
	}
	word := string(parts[1])
	outcome, isKnown := outcomeOf(word)
	if !isKnown {
		return "", result, fmt.Errorf("%w: unknown outcome word %.20q", errMalformed, word)
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

// parseFields parses the name=value pairs of a response and stores them in the result: the cache status (n), the load
// report (l), the ETag of the copy (sum), the time at which the origin issued it (t0) and the wait for the source (slow).
func parseFields(result *router.AttemptResult, fields string) error {
	for pair := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "n":
			status, isKnown := cacheStatusOf(value)
			if !isKnown {
				return fmt.Errorf("%w: unknown cache status n=%.20q", errMalformed, value)
			}
			result.CacheStatus = status
		case "l":
			result.LoadReport = value // parsed by the router, which knows the fields that the settings name
		case "sum":
			result.ETag = value
		case "t0":
			// An invalid value counts as absent: the field only adds checks (see canMatch and isTooOld).
			if madeAt, err := strconv.ParseUint(value, 10, 53); err == nil {
				result.CopyMadeAt = float64(madeAt)
			}
		case "slow":
			wait, err := strconv.ParseFloat(value, 64)
			if err != nil || !(wait >= 0 && wait < maxSourceWait) {
				return fmt.Errorf("%w: invalid value slow=%.20q", errMalformed, value)
			}
			result.SourceWait = wait
		}
	}
	return nil
}
