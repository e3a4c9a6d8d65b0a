package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"spantack/internal/loopback"
	"spantack/internal/msgpackrpc"
)

const (
	// readyTimeout is how long a router may take from its start until it is ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the time between two health checks of waitUntilReady.
	readyPollInterval = 20 * time.Millisecond
	// readyDialTimeoutMillis is the dial timeout of a health check of waitUntilReady.
	readyDialTimeoutMillis = 200
	// stopTimeout is how long a router may take to exit after SIGTERM.
	stopTimeout = 6 * time.Second
	// firstExtraFD is the descriptor of the first file of exec.Cmd's ExtraFiles.
	firstExtraFD = 3
)

// Router is one router process. Only Freeze, Signal and the exported fields are safe for concurrent use.
type Router struct {
	Addr      string // where clients connect
	AdminAddr string // of the admin API; empty: none
	LogPath   string // of the file with its output

	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	exitErr      error         // result of the process; set before exited is closed
	restartCount int           // number of earlier processes of this router
	listener     *os.File      // listening socket that the router's processes inherit; nil: each opens its own
}

// Build compiles the router binary into a folder and returns its path. It needs the Go tool chain, and a working
// directory within the project's sources.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "spantack")
	cmd := exec.Command("go", "build", "-o", binary, "spantack/cmd/spantack")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the router: %w: %s", err, bytes.TrimSpace(out))
	}
	return binary, nil
}

// startRouter starts a process of the router of the given rank. The new process uses the address and configuration of
// previous, the router's earlier process. If previous is nil, the router gets a new address and configuration.
func (d *Deployment) startRouter(rank int, previous *Router) (*Router, error) {
	r := &Router{exited: make(chan struct{})}
	if previous != nil {
		r.Addr = previous.Addr
		r.listener = previous.listener
		r.restartCount = previous.restartCount + 1
	} else {
		if err := d.chooseAddr(r); err != nil {
			return nil, err
		}
		if err := d.Configure(rank, nil); err != nil {
			return nil, err
		}
	}
	if err := d.prepareCommand(r, rank); err != nil {
		return nil, err
	}
	r.LogPath = filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", routerName(rank), r.restartCount))
	log, err := os.Create(r.LogPath)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has its own descriptor
	r.cmd.Stdout = log
	r.cmd.Stderr = log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		r.exitErr = r.cmd.Wait()
		close(r.exited)
	}()
	return r, nil
}

// chooseAddr sets the address of a new router, and opens its listening socket if the router inherits one.
func (d *Deployment) chooseAddr(r *Router) (err error) {
	if d.options.HasAdminAPI {
		r.listener, r.Addr, err = openListener()
		return err
	}
	r.Addr = loopback.FreeAddress()
	return nil
}

// prepareCommand sets the command line and the environment of a router as the platform does.
func (d *Deployment) prepareCommand(r *Router, rank int) error {
	r.cmd = exec.Command(d.routerBinary, d.options.ExtraFlags...)
	if d.options.Features != "" {
		r.cmd.Args = append(r.cmd.Args, "--features", d.featuresPath())
	}
	name := routerName(rank)
	r.cmd.Env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_LISTEN="+r.Addr, "RELAY_CONFIG="+d.configPath(rank))
	if !d.options.HasAdminAPI {
		return nil
	}
	r.AdminAddr = loopback.FreeAddress()
	stateDir := filepath.Join(d.dir, name)
	if err := os.MkdirAll(stateDir, 0o700); err != nil {
		return err
	}
	r.cmd.ExtraFiles = []*os.File{r.listener}
	r.cmd.Env = append(r.cmd.Env, "RELAY_MGMT="+r.AdminAddr, "TMPDIR="+stateDir,
		fmt.Sprintf("RELAY_SOCKET_FD=%d", firstExtraFD))
	return nil
}

// routerName returns the name of the router of the given rank.
func routerName(rank int) string { return fmt.Sprintf("n%d", rank) }

// openListener opens, as the platform does, a listening socket that stays open while router processes are replaced. It
// returns the socket and its address.
func openListener() (*os.File, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	defer l.Close() // the file has its own descriptor
	f, err := l.(*net.TCPListener).File()
	return f, l.Addr().String(), err
}

// waitUntilReady waits until the router reports that it is ready. It fails if the process exits or after readyTimeout.
func (r *Router) waitUntilReady(ctx context.Context) error {
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; time.Sleep(readyPollInterval) {
		select {
		case <-r.exited:
			text, _ := os.ReadFile(r.LogPath) // the log has more details than the exit code
			return fmt.Errorf("router at %s exited: %v: %s", r.Addr, r.cmd.ProcessState, bytes.TrimSpace(text))
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		client, err := msgpackrpc.Dial(r.Addr, readyDialTimeoutMillis)
		if err != nil {
			continue
		}
		isReady, err := client.Ready(ctx)
		client.Close()
		if err == nil && isReady {
			return nil
		}
	}
	return fmt.Errorf("router at %s not ready within %v", r.Addr, readyTimeout)
}

// Restart starts a killed router under the same name and address and with the same configuration, but without other
// state. It returns once the router is ready.
func (d *Deployment) Restart(ctx context.Context, rank int) error {
	r, err := d.startRouter(rank, d.Routers[rank])
	if err != nil {
		return err
	}
	d.Routers[rank] = r
	return r.waitUntilReady(ctx)
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// Freeze stops a router's process for a duration, and then resumes it. Like a process on a machine without free CPU, it
// does nothing in the meantime.
func (r *Router) Freeze(duration time.Duration) error {
	if err := r.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return r.Signal(syscall.SIGCONT)
}

// Kill ends a router's process with SIGKILL, and returns when the process has exited.
func (r *Router) Kill() error {
	if err := r.cmd.Process.Kill(); err != nil {
		return err
	}
	<-r.exited
	return nil
}

// terminate sends SIGTERM to the router's process. It returns nil if the process has already exited.
func (r *Router) terminate() error {
	if err := r.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// waitUntilStopped waits until a terminated router has exited, and closes its listening socket. After stopTimeout it
// kills the process and returns an error.
func (r *Router) waitUntilStopped() (err error) {
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		err = errors.Join(fmt.Errorf("router at %s did not exit within %v after SIGTERM", r.Addr, stopTimeout),
			r.cmd.Process.Kill())
	}
	if r.listener != nil {
		r.listener.Close()
	}
	return err
}
