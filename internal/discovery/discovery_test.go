package discovery

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"spantack/internal/router"
)

// names are the names to which the records in tests refer.
var names = Names{Zones: []string{"central", "east"}, Kinds: []string{"std", "parent"}}

// appendFrame encodes a frame as the discovery service does.
func appendFrame(buf []byte, number uint64, kind frameKind, payload []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(frameHeaderSize+len(payload)))
	buf = append(binary.BigEndian.AppendUint64(buf, number), byte(kind))
	return append(buf, payload...)
}

// record is the protocol's example server: s-00c41f7a at 10.1.0.9:5050, draining, weight 1.5.
const record = "\x00\xc4\x1f\x7a\x0a\x01\x00\x09\x13\xba\x01\x01\x00\x00\x02\x00\x00\x05\xdc" +
	"\x00\x00\x01\x9a\xd8\x4b\x90\x00"

// Frames of each kind must be parsed to their values, and truncated or malformed frames must be rejected.
func TestReadFrame(t *testing.T) {
	server := router.Server{ID: "s-00c41f7a", Addr: "10.1.0.9:5050", Zone: "east", Kind: "std", Cell: 2,
		Status: "cordoned", Weight: 1.5, StartedAt: 0x19ad84b9000}
	for _, test := range []struct {
		kind    frameKind
		payload string
		want    router.WatchEvent
	}{
		{kindHeartbeat, "", router.WatchEvent{}},
		{kindSnapshot, record, router.WatchEvent{IsSnapshot: true, Servers: []router.Server{server}}},
		{kindUpdate, record + record, router.WatchEvent{Servers: []router.Server{server, server}}},
		{kindPurgeObject, "\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55\x00\x00\x00\x00\x00\x00\x03\xe8",
			router.WatchEvent{Purge: &router.Purge{Object: "7f3a9c21e0b4d655", Before: 1000}}},
		{kindPurgeGroup, "\x00\x11\x00\x00\x00\x00\x00\x00\x03\xe8",
			router.WatchEvent{Purge: &router.Purge{Group: 17, Before: 1000}}},
	} {
		stream := appendFrame(nil, 42, test.kind, []byte(test.payload))
		got, err := readFrame(iotest.OneByteReader(bytes.NewReader(stream)), names)
		if err != nil || got.number != 42 || got.kind != test.kind || !reflect.DeepEqual(got.event, test.want) {
			t.Errorf("%v: %+v, %v", test.kind, got, err)
		}
		if _, err := readFrame(bytes.NewReader(stream[:len(stream)-1]), names); err != io.ErrUnexpectedEOF {
			t.Errorf("truncated %v: %v", test.kind, err)
		}
	}
	unknownState := strings.Replace(record, "\x01\x01\x00", "\x03\x01\x00", 1)
	for name, malformed := range map[string][]byte{
		"too long":       []byte("\xff\xff\xff\xff"),
		"too short":      []byte("\x00\x00\x00\x08"),
		"partial record": appendFrame(nil, 1, kindSnapshot, []byte(record[1:])),
		"unknown kind":   appendFrame(nil, 1, 9, nil),
		"unknown state":  appendFrame(nil, 1, kindUpdate, []byte(unknownState)),
	} {
		if _, err := readFrame(bytes.NewReader(malformed), names); !errors.Is(err, errMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Arbitrary bytes must result in an error or a frame, not in a panic or a large allocation.
func TestReadFrameOfArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "framed") {
			garbage = appendFrame(nil, 7, frameKind(rapid.ByteRange(0, 5).Draw(t, "kind")), garbage)
		}
		_, err := readFrame(bytes.NewReader(garbage), names)
		if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF && !errors.Is(err, errMalformed) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}

// listedServerText is an entry of an endpoint list in the document `known` in the settings.
const listedServerText = `{"uid":"s-00c41f7a","endpoint":"10.1.0.9:5050","az":"east","model":"std","pod_group":2,` +
	`"state":"Ready","capacity_hint":4.5,"boot_ms":0}`

// Initial events must be converted in order, and errors must name the invalid field by path.
func TestParseInitialEvents(t *testing.T) {
	text := `{"rev":43,"notices":[{"rev":41,"pool":{"rev":7,"all":true,"targets":[` + listedServerText + `]}},
		{"rev":42,"flush":{"asset":"7f3a9c21e0b4d655","ms":1764576000123}},
		{"rev":43,"flush":{"collection":17,"ms":1764576000480}}]}`
	last, events, err := ParseInitialEvents([]byte(text), names)
	server := router.Server{ID: "s-00c41f7a", Addr: "10.1.0.9:5050", Zone: "east", Kind: "std", Cell: 2,
		Status: "healthy", Weight: 4.5}
	want := []router.WatchEvent{
		{IsSnapshot: true, Servers: []router.Server{server}},
		{Purge: &router.Purge{Object: "7f3a9c21e0b4d655", Before: 1764576000123}},
		{Purge: &router.Purge{Group: 17, Before: 1764576000480}},
	}
	if err != nil || last != 43 || !reflect.DeepEqual(events, want) {
		t.Errorf("%d, %+v, %v", last, events, err)
	}
	for field, replacement := range map[string][2]string{
		"uid":      {"s-00c41f7a", ""},
		"endpoint": {"10.1.0.9", "nowhere"},
		"az":       {"east", "west"},
		"model":    {"std", "odd"},
		"state":    {"Ready", "Asleep"},
	} {
		unusable := strings.Replace(listedServerText, replacement[0], replacement[1], 1)
		text := `{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":[` + unusable + `]}}]}`
		_, _, err := ParseInitialEvents([]byte(text), names)
		if err == nil || !strings.HasPrefix(err.Error(), "notices[0].pool.targets[0]."+field+": ") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
