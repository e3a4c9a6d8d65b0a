package resp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"spantack/internal/router"
	"spantack/routing"
)

// drawArray draws an array of up to maxArrayLength short strings.
func drawArray(t *rapid.T) [][]byte {
	return rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 60), 0, maxArrayLength).Draw(t, "parts")
}

// Arrays must be read as they were written, however the network splits the stream, and a truncated stream must not
// look like a malformed one.
func TestReadArrayFromSplitStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		want := rapid.SliceOfN(rapid.Custom(drawArray), 1, 4).Draw(t, "arrays")
		for _, parts := range want {
			stream = AppendArray(stream, parts...)
		}
		reader := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(stream)), 16)
		for _, parts := range want {
			got, err := ReadArray(reader)
			if err != nil || !bytes.Equal(bytes.Join(got, []byte{0, 1}), bytes.Join(parts, []byte{0, 1})) {
				t.Fatalf("got %q (%v), want %q", got, err, parts)
			}
		}
		short := bufio.NewReader(bytes.NewReader(stream[:rapid.IntRange(0, len(stream)).Draw(t, "cut")]))
		for {
			if _, err := ReadArray(short); err == io.EOF || err == io.ErrUnexpectedEOF {
				return
			} else if err != nil {
				t.Fatalf("a truncated stream gave: %v", err)
			}
		}
	})
}

// Malformed input must give an error or a response, never a panic or a large allocation.
func TestMalformedInputDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.SampledFrom([]byte("*$0149\r\nOKMISnlow=,-\x00")), 0, 80).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "damaged") {
			garbage = AppendArray(nil, []byte("9b1f"), []byte("OK"), []byte("n=TCP_HIT,slow=3"), []byte("body"))
			garbage[rapid.IntRange(0, len(garbage)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		parts, err := ReadArray(bufio.NewReader(bytes.NewReader(garbage)))
		if err == nil {
			_, _, err = parseResponse(parts)
		}
		if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF && !errors.Is(err, errMalformed) {
			t.Fatalf("unexpected error: %v", err)
		}
	})
}

// A length must be checked before anything is allocated for it; only the body may be longer than maxStringSize.
func TestLengthsCheckedBeforeAllocation(t *testing.T) {
	for _, malformed := range []string{"*9\r\n", "*-1\r\n", "*1\r\n$99999999\r\n", "*1\r\n$5000\r\n", "*1\r\n$1\r\nabc",
		"$1\r\na\r\n", "*1\n$1\r\na\r\n", "*00000000000000001\r\n"} {
		if _, err := ReadArray(bufio.NewReader(strings.NewReader(malformed))); !errors.Is(err, errMalformed) {
			t.Errorf("%q: error %v, want errMalformed", malformed, err)
		}
	}
}

// Each outcome word and the fields of a response must be parsed; invalid values of known fields must be rejected.
func TestParseResponse(t *testing.T) {
	for _, test := range []struct {
		parts []string
		want  router.AttemptResult
	}{
		{[]string{"a", "OK", "sum=1f,t0=1764576000123,n=TCP_MISS_ROOT,slow=41.5", "bytes"},
			router.AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 3, SourceWait: 41.5,
				Body: []byte("bytes"), ETag: "1f", CopyMadeAt: 1764576000123}},
		{[]string{"a", "SAME", "n=TCP_HIT,sum=2e", ""},
			router.AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 1, NotModified: true, ETag: "2e"}},
		{[]string{"a", "MISS", "n=PEER_DEAD,slow=800", ""},
			router.AttemptResult{Outcome: routing.OutcomeMiss, CacheStatus: 7, SourceWait: 800}},
		{[]string{"a", "BUSY", "n=PEER_DENY", "why"},
			router.AttemptResult{Outcome: routing.OutcomeRejected, CacheStatus: 6}},
		{[]string{"a", "ERR", "n=ROOT_FAIL", ""},
			router.AttemptResult{Outcome: routing.OutcomeError, CacheStatus: 10}},
		{[]string{"a", "VOID", "-"}, router.AttemptResult{Outcome: routing.OutcomeSkipped}},
	} {
		var parts [][]byte
		for _, part := range test.parts {
			parts = append(parts, []byte(part))
		}
		id, got, err := parseResponse(parts)
		if err != nil || id != "a" || !reflect.DeepEqual(got, test.want) {
			t.Errorf("%q: id %s, result %+v, error %v; want id a and the result of the case", test.parts, id, got, err)
		}
	}
	for _, fields := range []string{"n=TCP_HOT", "slow=soon", "slow=NaN", "slow=-1"} {
		if _, _, err := parseResponse([][]byte{[]byte("a"), []byte("OK"), []byte(fields), nil}); err == nil {
			t.Errorf("%q was accepted", fields)
		}
	}
}

// The GET of an attempt must have all fields in order, and no field for a value that the attempt does not set.
func TestGetHasFieldsInOrder(t *testing.T) {
	request := &router.Request{ID: "9b1f", Class: "catalogue", Object: "7f3a", Chunk: 2, IdempotencyKey: "5c0f",
		ClientETag: "4be0", Body: []byte("ask")}
	got := string(appendGet(nil, router.Attempt{Request: request, Source: "s-00c41f7a", Timeout: 1499.9, RetentionRank: 1,
		MaxAge: 0.4, FetchFlags: routing.FetchCachedOnly | routing.FetchRevalidate}))
	want := "*4\r\n$3\r\nGET\r\n$4\r\n9b1f\r\n$116\r\nsort=catalogue,asset=7f3a,slice=2,patience=1499,op=5c0f," +
		"next=s-00c41f7a,admit=1,agelim=1,ways=held+renew,cached=4be0\r\n$3\r\nask\r\n"
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	// An age limit of 0 would mean the class's own limit, so a limit below one millisecond becomes 1. Without a limit,
	// the field is omitted.
	bare := string(appendGet(nil, router.Attempt{Request: &router.Request{ID: "a"}}))
	if strings.Contains(bare, "agelim") {
		t.Errorf("agelim although the attempt has no MaxAge: %q", bare)
	}
}
