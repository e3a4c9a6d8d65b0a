package main

import (
	"io"
	"testing"
	"time"
)

// Guards against a request that runs twice: its client leaves while a cache has it, and its id comes again on another
// connection. No second attempt may reach a cache, and the second client must get an error.
func TestIDOfADepartedClientIsNotSentAgain(t *testing.T) {
	const ref = "00000000000000c1"
	p, configPipe := launch(t, true)
	io.WriteString(configPipe, withLongDeadlines(p.text))
	configPipe.Close()
	first := p.connectReady()
	askWithTimeout(first, 2, ref, longTimeout)
	p.await("GET " + ref)
	second := p.connectReady()
	first.Close()
	if !p.awaitAny("DROP "+ref, "END "+ref) {
		t.Fatal("the process has ended")
	}
	time.Sleep(20 * time.Millisecond) // the first request ends once its DROP is written
	go func() {
		for t.Context().Err() == nil && p.count("GET "+ref) < 2 {
			time.Sleep(time.Millisecond)
		}
		p.respondFromCache(ref, "OK", "n=TCP_HIT,sum=1f", "again")
	}()
	askWithTimeout(second, 2, ref, longTimeout)
	expectBytes(t, second, "\x94\x01\x02\x92\xa5Error\x80\xc0")
	if n := p.count("GET " + ref); n != 1 {
		t.Errorf("%d attempts reached the caches, want 1", n)
	}
}
