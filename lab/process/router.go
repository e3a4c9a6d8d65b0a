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
	// readyTimeout is how long a router that was started may take until it is ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is how long waitUntilReady waits between two health checks.
	readyPollInterval = 20 * time.Millisecond
	// readyDialTimeoutMillis bounds the dial of such a health check.
	readyDialTimeoutMillis = 200
	// stopTimeout is how long a router may take to end after SIGTERM.
	stopTimeout = 6 * time.Second
	// firstExtraFD is the descriptor of the first file of exec.Cmd's ExtraFiles.
	firstExtraFD = 3
)

// Router is one router process. It is not safe for concurrent use, save for Freeze, Signal and its fields.
type Router struct {
	Addr      string // where clients connect
	AdminAddr string // of the admin API; empty: it has none
	LogPath   string // of the file that its output goes to

	cmd        *exec.Cmd
	exited     chan struct{} // closed when the process has ended
	exitErr    error         // how it ended; set before exited is closed
	startCount int           // processes that had its place before
	listener   *os.File      // the listening socket that its processes inherit; nil: they open their own
}

// Build compiles the router into a folder and returns its path. It needs the Go tool chain, and a working directory
// within the project's sources.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "spantack")
	cmd := exec.Command("go", "build", "-o", binary, "spantack/cmd/spantack")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the router: %w: %s", err, bytes.TrimSpace(out))
	}
	return binary, nil
}

// startRouter starts the process of the router with a rank. previous is the process that had its place before, from
// which it takes over the address; nil: there was none, and the router gets a new address and configuration.
func (d *Deployment) startRouter(rank int, previous *Router) (*Router, error) {
	r := &Router{exited: make(chan struct{})}
	if previous != nil {
		r.Addr = previous.Addr
		r.listener = previous.listener
		r.startCount = previous.startCount + 1
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
	r.LogPath = filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", routerName(rank), r.startCount))
	log, err := os.Create(r.LogPath)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has a descriptor of its own
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

// chooseAddr sets the address of a new router, and opens its listening socket where it gets one handed down.
func (d *Deployment) chooseAddr(r *Router) (err error) {
	if d.options.HasAdminAPI {
		r.listener, r.Addr, err = openListener()
		return err
	}
	r.Addr = loopback.FreeAddress()
	return nil
}

// prepareCommand sets the command line and the environment of a router, as the platform sets them.
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

// routerName is the name of the router with a rank.
func routerName(rank int) string { return fmt.Sprintf("n%d", rank) }

// openListener opens a listening socket as the platform holds one: it stays open while processes come and go.
func openListener() (*os.File, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	defer l.Close() // the file has a copy
	f, err := l.(*net.TCPListener).File()
	return f, l.Addr().String(), err
}

// waitUntilReady returns once the router says that it is ready, within readyTimeout.
func (r *Router) waitUntilReady(ctx context.Context) error {
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; time.Sleep(readyPollInterval) {
		select {
		case <-r.exited:
			text, _ := os.ReadFile(r.LogPath) // the log says more than the exit code, if there is one
			return fmt.Errorf("router at %s ended: %v: %s", r.Addr, r.cmd.ProcessState, bytes.TrimSpace(text))
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

// Restart starts a router that was killed, under its name and addresses, with nothing but its configuration. It returns
// once the router is ready.
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

// Freeze stops a router's process for a while, as a starved machine does.
func (r *Router) Freeze(duration time.Duration) error {
	if err := r.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return r.Signal(syscall.SIGCONT)
}

// Kill ends a router as a crash does, and returns when its process has ended.
func (r *Router) Kill() error {
	if err := r.cmd.Process.Kill(); err != nil {
		return err
	}
	<-r.exited
	return nil
}

// terminate asks the router's process to end; one that has ended already is no error.
func (r *Router) terminate() error {
	if err := r.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// waitUntilStopped waits until a router that was asked to end has done so, kills it if it does not, and closes its
// listening socket.
func (r *Router) waitUntilStopped() (err error) {
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		err = errors.Join(fmt.Errorf("router at %s did not end within %v", r.Addr, stopTimeout), r.cmd.Process.Kill())
	}
	if r.listener != nil {
		r.listener.Close()
	}
	return err
}
