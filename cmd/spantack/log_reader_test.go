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

// Guards against a router that blocks or ends because of its log. The reader of the log has stopped with the pipe full,
// or has closed the pipe. The router must start, serve, close connections of faulty clients, log counters and shut down
// as usual.
func TestStoppedOrClosedLogReaderDoesNotBlockRouter(t *testing.T) {
	t.Parallel()
	for _, isClosed := range []bool{false, true} {
		testwait.RetryIfStarved(t, func() error { return shutDownWithLogReader(t, isClosed) })
	}
}

func shutDownWithLogReader(t *testing.T, isClosed bool) error {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if isClosed {
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
		io.Copy(io.Discard, bad) // until the router closes the connection
		p.signal(syscall.SIGUSR1)
	}
	ask(nc, 2, "0000000000000002")
	p.await("GET 0000000000000002")
	watch := testwait.StartStopwatch()
	p.signal(syscall.SIGTERM)
	answers, err := io.ReadAll(nc)
	if err != nil {
		t.Errorf("log reader closed=%v: %v", isClosed, err)
	}
	nc.Close()
	if took := p.awaitExit(watch); took > killLimit {
		return fmt.Errorf("log reader closed=%v: exited after %v", isClosed, took)
	}
	return checkEachAnswered(answers, 2)
}

// fillPipe fills a pipe, so that further writes block.
func fillPipe(t *testing.T, fd int) {
	t.Helper()
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	oneByte := []byte("x")
	for {
		if _, err := syscall.Write(fd, oneByte); err == syscall.EAGAIN {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
}
