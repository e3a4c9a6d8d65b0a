package msgpackrpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"spantack/internal/router"
)

// encode encodes a value as MessagePack, with 16-bit array and map headers, which the server reads but never writes.
func encode(buf []byte, v any) []byte {
	switch v := v.(type) {
	case nil:
		return append(buf, 0xc0)
	case uint64:
		return appendUint(buf, v)
	case string:
		return appendString(buf, v)
	case []byte:
		return append(appendBinaryHeader(buf, len(v)), v...)
	case []any:
		buf = append(buf, 0xdc, byte(len(v)>>8), byte(len(v)))
		for _, e := range v {
			buf = encode(buf, e)
		}
	case map[string]any:
		buf = append(buf, 0xde, byte(len(v)>>8), byte(len(v)))
		for _, k := range slices.Sorted(maps.Keys(v)) {
			buf = encode(appendString(buf, k), v[k])
		}
	}
	return buf
}

// drawMessage draws a request message with random id, fields and body.
func drawMessage(t *rapid.T) []any {
	fields := map[string]any{}
	for k, v := range rapid.MapOfN(rapid.StringN(1, 8, 8), rapid.StringN(0, 40, 40), 0, 10).Draw(t, "fields") {
		fields[k] = v
	}
	body := rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "body")
	return []any{uint64(0), rapid.Uint64().Draw(t, "id"), "segment", []any{fields, body}}
}

// Messages must decode to the same values wherever the network splits the stream, and a truncated stream must not
// count as malformed.
func TestReadMessageAcrossSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		want := rapid.SliceOfN(rapid.Custom(drawMessage), 1, 4).Draw(t, "messages")
		for _, m := range want {
			stream = encode(stream, m)
		}
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		in := bufio.NewReaderSize(iotest.OneByteReader(io.MultiReader(
			bytes.NewReader(stream[:cut]), bytes.NewReader(stream[cut:]))), 16)
		for _, m := range want {
			v, err := readMessage(in)
			if err != nil {
				t.Fatal(err)
			}
			got, err := parseMessage(v)
			if err != nil || got.id != m[1] || got.method != "segment" || !reflect.DeepEqual(got.params, m[3]) {
				t.Fatalf("got %v (%v), want %v", got, err, m)
			}
		}
		if _, err := readMessage(in); err != io.EOF {
			t.Fatalf("read after the last message: got %v, want EOF", err)
		}
		short := bufio.NewReader(bytes.NewReader(stream[:cut]))
		for {
			if _, err := readMessage(short); err == io.EOF || err == io.ErrUnexpectedEOF {
				return
			} else if err != nil {
				t.Fatalf("truncated stream: got %v, want EOF or unexpected EOF", err)
			}
		}
	})
}

// Arbitrary or damaged bytes must result in an error or a message, not in a panic or a large allocation.
func TestReadMessageOfArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "damaged") { // one changed byte in a valid message reaches later checks
			garbage = encode(nil, drawMessage(t))
			garbage[rapid.IntRange(0, len(garbage)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		v, err := readMessage(bufio.NewReader(bytes.NewReader(garbage)))
		if err == nil {
			if m, err := parseMessage(v); err == nil {
				_, _ = parseRequest(m.method, m.params, true)
			}
		} else if err != io.EOF && err != io.ErrUnexpectedEOF && !errors.Is(err, errMalformed) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}

// A length must be checked before memory is allocated for it. Otherwise four bytes of input could make the router
// allocate gigabytes. Input that is nested too deeply or has an unknown format must be rejected as well.
func TestInputBeyondLimitsIsMalformed(t *testing.T) {
	for _, text := range []string{"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff",
		"\xdb\x00\x02\x00\x00", strings.Repeat("\x91", 1000), "\xc1"} {
		_, err := readMessage(bufio.NewReader(strings.NewReader(text)))
		if !errors.Is(err, errMalformed) {
			t.Errorf("%.8q: %v", text, err)
		}
	}
}

// Numbers must decode to the same value from each of their formats.
func TestDecodeNumbers(t *testing.T) {
	for text, want := range map[string]any{"\x05": int64(5), "\xff": int64(-1), "\xd0\x80": int64(-128),
		"\xd3\xff\xff\xff\xff\xff\xff\xff\xfe": int64(-2), "\xcd\x01\x00": uint64(256),
		"\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00": 1.0, "\xca\x3f\x80\x00\x00": 1.0, "\xc3": true} {
		if v, err := readMessage(bufio.NewReader(strings.NewReader(text))); err != nil || v != want {
			t.Errorf("%q: %v (%v), want %v", text, v, err, want)
		}
	}
	for _, n := range []uint64{0, 127, 128, 255, 256, 65535, 65536, math.MaxUint32, math.MaxUint32 + 1, math.MaxUint64} {
		v, err := readMessage(bufio.NewReader(bytes.NewReader(appendUint(nil, n))))
		if got, ok := asUint64(v); err != nil || !ok || got != n {
			t.Errorf("%d decoded as %v (%v)", n, v, err)
		}
	}
}

// Valid fields must be parsed to their values, and the error for an invalid field must name it.
func TestParseRequestFields(t *testing.T) {
	validFields := func() map[string]any {
		return map[string]any{"ref": "9b1f03aa5c7e2d41", "allow": "1500", "lookup": "7f3a9c21e0b4d655", "block": "3",
			"family": "17", "room": "412.5", "cached": "4be0c1927d55a6f3", "replay": "5c0f6e1a2b3d4c59"}
	}
	want := router.Request{ID: "9b1f03aa5c7e2d41", Class: "segment", Object: "7f3a9c21e0b4d655", Chunk: 3, PurgeGroup: 17,
		SizeKB: 412.5, IdempotencyKey: "5c0f6e1a2b3d4c59", ClientETag: "4be0c1927d55a6f3", ClientTimeout: 1500,
		Body: []byte("body")}
	got, err := parseRequest("segment", []any{validFields(), []byte("body")}, true)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	wantFieldError := func(name string, value any) {
		t.Helper()
		invalid := validFields()
		invalid[name] = value
		_, err := parseRequest("segment", []any{invalid, []byte(nil)}, true)
		var fieldErr *fieldError
		if !errors.As(err, &fieldErr) || fieldErr.field != name || !strings.Contains(err.Error(), name) {
			t.Errorf("%s = %v: %v", name, value, err)
		}
	}
	for name, value := range map[string]any{"ref": "", "allow": "soon", "lookup": "a,next=s-1", "block": "-1",
		"family": "NaN", "room": "1e400", "cached": uint64(4), "replay": strings.Repeat("a", 65)} {
		wantFieldError(name, value)
	}
	for _, pair := range [][2]string{{"block", "2.5"}, {"block", "0x10"}, {"family", "256"},
		{"ref", "r2"}, {"lookup", "7f3a9c21e0b4d65g"}, // edge caches close the connection on invalid ids
		{"allow", "-1"}, {"allow", "NaN"}, {"allow", "Inf"}, {"room", "Inf"}} {
		wantFieldError(pair[0], pair[1])
	}
}
