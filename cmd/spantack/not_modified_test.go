package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/resp"
)

// askConditionally sends a request of class page whose client holds the copy with the given ETag of 16 bytes.
func askConditionally(nc net.Conn, message int, ref, etag string) {
	fmt.Fprintf(nc, "\x94\x00%c\xa4page\x92\x84\xa3ref\xb0%s\xa5allow\xa530000\xa6lookup\xb0000000000000007f"+
		"\xa6cached\xb0%s\xc4\x00", message, ref, etag)
}

// respondFromCache sends the response to the last attempt of a request that arrived at a cache.
func (p *routerProcess) respondFromCache(ref, word, fields, body string) {
	p.mu.Lock()
	nc := p.conns[ref]
	p.mu.Unlock()
	nc.Write(resp.AppendArray(nil, []byte(ref), []byte(word), []byte(fields), []byte(body)))
}

// Guards against a client that is told that its old copy is current (review case 9): a cache answers SAME with the tag
// of another copy. The client must get the bytes from another cache, and "keep" only for the copy that a cache named.
func TestClientKeepsOnlyTheCopyThatACacheNamed(t *testing.T) {
	const etag, other = "4be0c1927d55a6f3", "77aa01927d55a6f3"
	p, configPipe := launch(t, true)
	io.WriteString(configPipe, withLongDeadlines(p.text))
	configPipe.Close()
	client := p.connectReady()

	const spoilt = "00000000000000a1"
	askConditionally(client, 2, spoilt, etag)
	p.await("GET " + spoilt)
	p.respondFromCache(spoilt, "SAME", "n=TCP_HIT,sum="+other, "")
	go func() {
		for t.Context().Err() == nil && p.count("GET "+spoilt) < 2 {
			time.Sleep(time.Millisecond)
		}
		p.respondFromCache(spoilt, "OK", "n=TCP_HIT,sum="+other, "new")
	}()
	expectBytes(t, client, "\x94\x01\x02\xc0\x92\xc4\x03new\x80")

	const named = "00000000000000a2"
	askConditionally(client, 3, named, etag)
	p.await("GET " + named)
	p.respondFromCache(named, "SAME", "n=TCP_HIT,sum="+etag, "")
	expectBytes(t, client, "\x94\x01\x03\xc0\x92\xc4\x00\x81\xa4keep\xa11")
}

// expectBytes reads as many bytes as want has, and compares them.
func expectBytes(t *testing.T, nc net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(nc, got); err != nil || string(got) != want {
		t.Fatalf("read %q (%v), want %q", got[:n], err, want)
	}
}
