package main

import (
	"io"
	"os"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// Guards against signals that kill the process while it reads its configuration: SIGHUP and SIGUSR1 must not end it,
// and SIGTERM must end it cleanly.
func TestSignalDuringStartDoesNotKillProcess(t *testing.T) {
	t.Parallel()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM} {
		p, configPipe := launch(t, true)
		p.signal(s)
		other := p.config + ".new" // for the reload: the pipe can be read only once
		if err := os.WriteFile(other, []byte(p.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(other, p.config); err != nil {
			t.Fatal(err)
		}
		if s != syscall.SIGTERM { // more signals than are buffered
			for range 20 {
				p.signal(s)
			}
		}
		io.WriteString(configPipe, p.text)
		configPipe.Close()
		if s != syscall.SIGTERM {
			nc := p.connectReady()
			nc.Close()
			p.signal(syscall.SIGTERM)
		}
		if took := p.awaitExit(testwait.StartStopwatch()); took > killLimit {
			t.Errorf("%v: exited after %v", s, took)
		}
	}
}
