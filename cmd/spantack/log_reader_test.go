package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// Who reads the log has stopped, with the pipe full, or is gone: the router starts, serves, turns bad clients away,
// reports and ends as ever.
func TestLogReaderStopsOrGoes(t *testing.T) {
	t.Parallel()
	for _, gone := range []bool{false, true} {
		testwait.RetryIfStarved(t, func() error { return endWithLogReader(t, gone) })
	}
}

func endWithLogReader(t *testing.T, gone bool) error {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if gone {
		r.Close()
	} else {
		defer r.Close()
		fillPipe(t, int(w.Fd()))
	}
	p, _ := launch(t, false, func(c *exec.Cmd) { c.Stderr = w })
	w.Close()
	nc := p.connectReady()
	for range 3 {
		bad := p.connect()
		io.WriteString(bad, "\xc1")
		io.Copy(io.Discard, bad) // until it is closed
		p.signal(syscall.SIGUSR1)
	}
	ask(nc, 2, "0000000000000002")
	p.await("GET 0000000000000002")
	began := testwait.StartStopwatch()
	p.signal(syscall.SIGTERM)
	answers, err := io.ReadAll(nc)
	if err != nil {
		t.Errorf("gone %v: %v", gone, err)
	}
	nc.Close()
	if took := p.awaitExit(began); took > killLimit {
		return fmt.Errorf("gone %v: ended after %v", gone, took)
	}
	return checkEachAnswered(answers, 2)
}

// fillPipe writes to a pipe until it takes no more, and leaves it such that a write waits.
func fillPipe(t *testing.T, fd int) {
	t.Helper()
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	line := []byte("x")
	for {
		if _, err := syscall.Write(fd, line); err == syscall.EAGAIN {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
}
