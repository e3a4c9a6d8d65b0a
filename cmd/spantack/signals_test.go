package main

import (
	"io"
	"os"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// A signal comes while the configuration is read: SIGHUP and SIGUSR1 must not end the process, SIGTERM ends it in
// order.
func TestSignalBeforeReady(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM} {
		p, into := launch(t, true)
		p.signal(s)
		other := p.config + ".new" // for the reload: the pipe is read once
		if err := os.WriteFile(other, []byte(p.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(other, p.config); err != nil {
			t.Fatal(err)
		}
		if s != syscall.SIGTERM { // and more of them than are kept
			for range 20 {
				p.signal(s)
			}
		}
		io.WriteString(into, p.text)
		into.Close()
		if s != syscall.SIGTERM {
			nc := p.connectReady()
			nc.Close()
			p.signal(syscall.SIGTERM)
		}
		if took := p.awaitExit(testwait.StartStopwatch()); took > killLimit {
			t.Errorf("%v: ended after %v", s, took)
		}
	}
}
