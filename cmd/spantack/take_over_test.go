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

// A router is to be replaced, on a socket that the platform holds, and the process that takes over ends, at each point: killed or told to end
// once it has said that it serves, or told to end while it reads its configuration. The one before it is then told to end too: it must go
// on taking requests as if there had been no other, for there is nobody else.
func TestTakeOverThatEnds(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"none", "serves", "killed", "told to end", "told to end while it starts"} {
		held := testwait.Listen(t)
		socket, err := held.File()
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		shared := t.TempDir()
		managed := func(addr string) func(*exec.Cmd) {
			return func(c *exec.Cmd) {
				c.ExtraFiles = []*os.File{socket} // descriptor 3
				c.Env = append(c.Env, "RELAY_SOCKET_FD=3", "TMPDIR="+shared, "RELAY_MGMT="+addr)
			}
		}
		serves := func(addr string) {
			testwait.Until(t, "a router that is ready", func() bool { return readyStatus(addr) == http.StatusOK })
		}
		one, two := loopback.FreeAddress(), loopback.FreeAddress()
		old, _ := launch(t, false, managed(one))
		serves(one)
		if how != "none" {
			starts := how == "told to end while it starts"
			next, into := launch(t, starts, managed(two))
			if starts {
				next.signal(syscall.SIGTERM)
				io.WriteString(into, next.text)
				into.Close()
			} else {
				serves(two)
			}
			switch how {
			case "killed":
				next.signal(syscall.SIGKILL)
				next.exit()
			case "told to end":
				next.signal(syscall.SIGTERM)
				testwait.Until(t, "a router that has heard the signal", func() bool { return readyStatus(two) != http.StatusOK })
			case "told to end while it starts":
				next.ended(testwait.StartStopwatch())
			}
		}
		old.signal(syscall.SIGTERM)
		old.ended(testwait.StartStopwatch())
		if want := fmt.Sprintf(`"replaced":%v`, how == "serves"); !strings.Contains(old.log.String(), want) {
			t.Errorf("%s: the log lacks %s: %s", how, want, old.log)
		}
	}
}

// staffClient makes calls to the second address.
var staffClient = http.Client{Timeout: testwait.Limit}

// readyStatus asks a router's second address whether it is ready; 0 where nobody answers.
func readyStatus(addr string) int {
	r, err := staffClient.Get("http://" + addr + "/api/ready")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}
