package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"spantack/internal/loopback"
	"spantack/internal/testwait"
)

// A router is to be replaced, on a socket that the platform holds, and the process that takes over ends, at each
// point: killed or told to end once it has said that it serves, or told to end while it reads its configuration.
// The one before it is then told to end too: it must go on accepting requests as if there had been no other, for
// there is nobody else.
func TestTakeOverThatEnds(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		next       func(*takeOver) // what becomes of the process that takes over; nil: there is none
		isReplaced bool            // what the one before it says
	}{
		{"none", nil, false},
		{"serves", func(o *takeOver) { o.start("next") }, true},
		{"killed", func(o *takeOver) {
			next, _ := o.start("next")
			next.signal(syscall.SIGKILL)
			next.wait()
		}, false},
		{"told to end", func(o *takeOver) {
			next, adminAddr := o.start("next")
			next.signal(syscall.SIGTERM)
			testwait.Until(o.t, "a router that has heard the signal", func() bool {
				return readyStatus(adminAddr) != http.StatusOK
			})
		}, false},
		{"told to end while it starts", func(o *takeOver) {
			next, into := launch(o.t, true, o.managed(loopback.FreeAddress()))
			next.signal(syscall.SIGTERM)
			io.WriteString(into, next.text)
			into.Close()
			next.awaitExit(testwait.StartStopwatch())
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newTakeOver(t)
			old, _ := o.start("old")
			if tc.next != nil {
				tc.next(o)
			}
			old.signal(syscall.SIGTERM)
			old.awaitExit(testwait.StartStopwatch())
			if want := fmt.Sprintf(`"replaced":%v`, tc.isReplaced); !strings.Contains(old.log.String(), want) {
				t.Errorf("the log lacks %s: %s", want, old.log)
			}
		})
	}
}

// takeOver is a deployment in which one process of a router takes over from another.
type takeOver struct {
	t        *testing.T
	socket   *os.File // the listening socket, as the platform holds it
	stateDir string   // shared by the processes
}

func newTakeOver(t *testing.T) *takeOver {
	t.Helper()
	socket, err := testwait.Listen(t).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return &takeOver{t: t, socket: socket, stateDir: t.TempDir()}
}

// managed has a process inherit the socket and serve the management address.
func (o *takeOver) managed(adminAddr string) func(*exec.Cmd) {
	return func(c *exec.Cmd) {
		c.ExtraFiles = []*os.File{o.socket} // descriptor 3
		c.Env = append(c.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+o.stateDir, "RELAY_MGMT="+adminAddr)
	}
}

// start starts a process, and returns once it is ready.
func (o *takeOver) start(name string) (p *routerProcess, adminAddr string) {
	o.t.Helper()
	adminAddr = loopback.FreeAddress()
	p, _ = launch(o.t, false, o.managed(adminAddr))
	testwait.Until(o.t, "the "+name+" process to be ready", func() bool {
		return readyStatus(adminAddr) == http.StatusOK
	})
	return p, adminAddr
}

// staffClient makes calls to the management address.
var staffClient = http.Client{Timeout: testwait.Limit}

// readyStatus asks a router's management address whether it is ready; 0 where nobody answers.
func readyStatus(addr string) int {
	r, err := staffClient.Get("http://" + addr + "/api/ready")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// awaitOutstanding returns once a router says that so many requests are open.
func awaitOutstanding(t *testing.T, adminAddr string, requests int) {
	t.Helper()
	want := fmt.Sprintf("app.outstanding:%d|g\n", requests)
	testwait.Until(t, want, func() bool {
		r, err := staffClient.Get("http://" + adminAddr + "/api/telemetry")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return strings.Contains(string(text), want)
	})
}
