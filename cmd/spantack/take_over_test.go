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
// process that replaced it has ended. Both inherit the listener from a supervisor.
func TestFailedReplacementDoesNotCountAsReplaced(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		next       func(*replacementTest) // starts the new process, and ends it; nil if there is none
		isReplaced bool                   // whether the old process logs that it has been replaced
	}{
		{"none", nil, false},
		{"serves", func(r *replacementTest) { r.start("next") }, true},
		{"killed", func(r *replacementTest) {
			next, _ := r.start("next")
			next.signal(syscall.SIGKILL)
			next.wait()
		}, false},
		{"terminated", func(r *replacementTest) {
			next, adminAddr := r.start("next")
			next.signal(syscall.SIGTERM)
			testwait.Until(r.t, "the new process to be no longer ready", func() bool {
				return readyStatus(adminAddr) != http.StatusOK
			})
		}, false},
		{"terminated during its start", func(r *replacementTest) {
			next, configPipe := launch(r.t, true, r.inheritSocket(loopback.FreeAddress()))
			next.signal(syscall.SIGTERM)
			io.WriteString(configPipe, next.text)
			configPipe.Close()
			next.awaitExit(testwait.StartStopwatch())
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReplacementTest(t)
			old, _ := r.start("old")
			if tc.next != nil {
				tc.next(r)
			}
			old.signal(syscall.SIGTERM)
			old.awaitExit(testwait.StartStopwatch())
			if want := fmt.Sprintf(`"replaced":%v`, tc.isReplaced); !strings.Contains(old.log.String(), want) {
				t.Errorf("no %s in the log: %s", want, old.log)
			}
		})
	}
}

// replacementTest is a deployment in which one process of a router replaces another.
type replacementTest struct {
	t        *testing.T
	socket   *os.File // the listening socket of the supervisor
	stateDir string   // shared by the processes
}

func newReplacementTest(t *testing.T) *replacementTest {
	t.Helper()
	socket, err := testwait.Listen(t).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return &replacementTest{t: t, socket: socket, stateDir: t.TempDir()}
}

// inheritSocket returns a function that sets up a command so that its process inherits the socket and serves management
// calls at adminAddr.
func (r *replacementTest) inheritSocket(adminAddr string) func(*exec.Cmd) {
	return func(c *exec.Cmd) {
		c.ExtraFiles = []*os.File{r.socket} // descriptor 3
		c.Env = append(c.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+r.stateDir, "RELAY_MGMT="+adminAddr)
	}
}

// start starts a process and returns it with its management address once it is ready.
func (r *replacementTest) start(name string) (p *routerProcess, adminAddr string) {
	r.t.Helper()
	adminAddr = loopback.FreeAddress()
	p, _ = launch(r.t, false, r.inheritSocket(adminAddr))
	testwait.Until(r.t, "the "+name+" process to be ready", func() bool {
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
