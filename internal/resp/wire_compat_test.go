package resp

import (
	"bufio"
	"io"
	"reflect"
	"strings"
	"testing"

	"spantack/internal/router"
	"spantack/internal/testfixture"
	"spantack/internal/testwait"
	"spantack/routing"
)

// wireFixture holds one recorded message per line, as an earlier release wrote or read it. Caches depend on
// this format, so lines must never be changed to make a test pass.
const wireFixture = "testdata/wire_compat.txt"

// The GET commands must be written as recorded.
func TestCommandsCompat(t *testing.T) {
	request := &router.Request{ID: "9b1f00000000c0de", Class: "report", Object: "7f3a9c21e0b4d655", Chunk: 3,
		PurgeGroup:     17,
		IdempotencyKey: "key-1", ClientETag: "tag.2", Body: []byte("\x00body\xff")}
	plain := &router.Request{ID: "a", Class: "page"}
	for name, a := range map[string]router.Attempt{
		"get with all fields": {Request: request, Server: "s-1", Source: "10.1.0.9:5050", Timeout: 1500.9, RetentionRank: 2,
			MaxAge: 85.9, FetchFlags: 15, SendWithin: 7, HasSideEffects: true},
		"get with the least":  {Request: plain},
		"get, joins":          {Request: plain, FetchFlags: routing.FetchCollapse},
		"get, held only":      {Request: plain, FetchFlags: routing.FetchCachedOnly},
		"get, passes parent":  {Request: plain, FetchFlags: routing.FetchSkipParentStore},
		"get, renews":         {Request: plain, FetchFlags: routing.FetchRevalidate},
		"get, shortest times": {Request: plain, Timeout: 0.2, MaxAge: 0.2},
	} {
		if got := string(appendGet(nil, a)); got != testfixture.QuotedLines(t, wireFixture)[name] {
			t.Errorf("%s: wrote %+q, not the recorded command", name, got)
		}
	}
}

// The DROP of a canceled attempt must be written as recorded.
func TestDropCompat(t *testing.T) {
	s := listen(t)
	pools, _ := newPools(t, s.addr())
	pending, conn := sendFirst(pools, s)
	conn.sendUnmatchedResponse(pools)
	go pending.Cancel(true)
	want := testfixture.QuotedLines(t, wireFixture)["drop"]
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn.in, got); err != nil || string(got) != want || want == "" {
		t.Errorf("wrote %+q (%v), want the recorded DROP", got, err)
	}
	testwait.Until(t, "the attempt to be finished", func() bool {
		pools.mu.Lock()
		defer pools.mu.Unlock()
		return pending.(*pendingAttempt).finished
	})
}

// Recorded responses must be read as before. The numbers of recorded responses and of cases must be equal; the cases
// cover each outcome word and cache status.
func TestResponsesCompat(t *testing.T) {
	cases := map[string]router.AttemptResult{
		"answer OK": {Outcome: "done", Body: []byte("\x00body\xff")},
		"answer OK with all fields": {Outcome: "done", CacheStatus: 2, SourceWait: 3.5, Body: []byte("x"),
			LoadReport: "busy:0.5;queue:3",
			CopyMadeAt: 1764576000123},
		"answer SAME":              {Outcome: "done", NotModified: true},
		"answer MISS":              {Outcome: "enoent"},
		"answer BUSY":              {Outcome: "busy"},
		"answer BUSY, two parts":   {Outcome: "busy"},
		"answer ERR":               {Outcome: "err"},
		"answer VOID":              {Outcome: "skipped"},
		"answer OK, TCP_HIT":       {Outcome: "done", Body: []byte("x"), CacheStatus: 1},
		"answer OK, TCP_MISS":      {Outcome: "done", Body: []byte("x"), CacheStatus: 2},
		"answer OK, TCP_MISS_ROOT": {Outcome: "done", Body: []byte("x"), CacheStatus: 3},
		"answer OK, TCP_JOIN":      {Outcome: "done", Body: []byte("x"), CacheStatus: 4},
		"answer OK, TCP_STALE":     {Outcome: "done", Body: []byte("x"), CacheStatus: 5},
		"answer ERR, PEER_DENY":    {Outcome: "err", CacheStatus: 6},
		"answer ERR, PEER_DEAD":    {Outcome: "err", CacheStatus: 7},
		"answer ERR, PEER_MISS":    {Outcome: "err", CacheStatus: 8},
		"answer ERR, FILL_FULL":    {Outcome: "err", CacheStatus: 9},
		"answer ERR, ROOT_FAIL":    {Outcome: "err", CacheStatus: 10},
	}
	recorded, count := testfixture.QuotedLines(t, wireFixture), 0
	for name := range recorded {
		if strings.HasPrefix(name, "answer ") {
			count++
		}
	}
	if count != len(cases) {
		t.Errorf("%d recorded responses, %d cases", count, len(cases))
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			parts, err := ReadArray(bufio.NewReader(strings.NewReader(recorded[name])))
			if err != nil {
				t.Fatal(err)
			}
			if encoded := string(AppendArray(nil, parts...)); encoded != recorded[name] {
				t.Errorf("encoded again as %+q, not as recorded", encoded)
			}
			id, got, err := parseResponse(parts)
			if err != nil || id != "9b1f" || !reflect.DeepEqual(got, want) {
				t.Errorf("read %s %+v (%v), want %+v", id, got, err, want)
			}
		})
	}
}
