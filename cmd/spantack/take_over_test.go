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

// Guards against a router that stops accepting requests at once on SIGTERM because it counts as replaced, although the
// process that replaced it has ended. Both use a socket of the platform. The new process ends while it serves, by
// SIGKILL or SIGTERM, or gets SIGTERM while it reads its configuration.
func TestFailedReplacementDoesNotCountAsReplaced(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		next       func(*takeOver) // starts the new process, and ends it; nil if there is none
		isReplaced bool            // what the old process logs
	}{
		{"none", nil, false},
		{"serves", func(o *takeOver) { o.start("next") }, true},
		{"killed", func(o *takeOver) {
			next, _ := o.start("next")
			next.signal(syscall.SIGKILL)
			next.wait()
		}, false},
		{"terminated", func(o *takeOver) {
			next, adminAddr := o.start("next")
			next.signal(syscall.SIGTERM)
			testwait.Until(o.t, "the new process to be no longer ready", func() bool {
				return readyStatus(adminAddr) != http.StatusOK
			})
		}, false},
		{"terminated during its start", func(o *takeOver) {
			next, configPipe := launch(o.t, true, o.managed(loopback.FreeAddress()))
			next.signal(syscall.SIGTERM)
			io.WriteString(configPipe, next.text)
			configPipe.Close()
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
				t.Errorf("no %s in the log: %s", want, old.log)
			}
		})
	}
}

// takeOver is a deployment in which one process of a router replaces another.
type takeOver struct {
	t        *testing.T
	socket   *os.File // the listening socket of the platform
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

// managed returns a change to a command: the process inherits the socket and serves management calls at adminAddr.
func (o *takeOver) managed(adminAddr string) func(*exec.Cmd) {
	return func(c *exec.Cmd) {
		c.ExtraFiles = []*os.File{o.socket} // descriptor 3
		c.Env = append(c.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+o.stateDir, "RELAY_MGMT="+adminAddr)
	}
}

// start starts a process and returns it with its management address once it is ready.
func (o *takeOver) start(name string) (p *routerProcess, adminAddr string) {
	o.t.Helper()
	adminAddr = loopback.FreeAddress()
	p, _ = launch(o.t, false, o.managed(adminAddr))
	testwait.Until(o.t, "the "+name+" process to be ready", func() bool {
		return readyStatus(adminAddr) == http.StatusOK
	})
	return p, adminAddr
}

// adminClient makes management calls.
var adminClient = http.Client{Timeout: testwait.Limit}

// readyStatus returns the HTTP status of a router's ready call; 0 if there is no response.
func readyStatus(addr string) int {
	r, err := adminClient.Get("http://" + addr + "/api/ready")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// awaitOutstanding returns once a router's metrics have a number of open requests.
func awaitOutstanding(t *testing.T, adminAddr string, requests int) {
	t.Helper()
	want := fmt.Sprintf("app.outstanding:%d|g\n", requests)
	testwait.Until(t, want, func() bool {
		r, err := adminClient.Get("http://" + adminAddr + "/api/telemetry")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return strings.Contains(string(text), want)
	})
}
