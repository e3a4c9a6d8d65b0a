package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spantack/internal/loopback"
	"spantack/internal/resp"
	"spantack/internal/testwait"
)

// runAsRouterEnv is the environment variable with which the test binary runs as the router.
const runAsRouterEnv = "SPANTACK_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsRouterEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// twoCachesConfig is a configuration with two caches, a class for reads and one with idempotency keys, both with a
// deadline of 2 s. It lacks the addresses of the discovery service and of the caches.
const twoCachesConfig = `{"seed":"01","limits":{"memory_mb":192,"sockets":256},"board":%q,
	"known":{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":[
	{"uid":"s-00000001","endpoint":%q,"az":"east","model":"box","state":"Ready","capacity_hint":4},
	{"uid":"s-00000003","endpoint":%q,"az":"east","model":"box","state":"Ready","capacity_hint":4},
	{"uid":"s-00000002","endpoint":"127.0.0.1:1","az":"east","model":"origin","state":"Ready","capacity_hint":1}]}}]},
	"settings":{"Classes":[
	{"Name":"page","Deadline":2000000,"Promise":2000000,"Gain":1,"Idempotency":"read_like","Group":"all"},
	{"Name":"report","Deadline":2000000,"Promise":2000000,"Gain":1,
	"Idempotency":"idempotency_key","Group":"all","MemorySpan":2000000}],
	"Extra":{"MasterKind":1,"ShieldKind":-1,"NotesGiven":"all"},"Kinds":["box","origin"],
	"Permissions":{"MaxAttempts":8,"DialTimeout":500000,"MaxStreams":32},"Zone":"east","Zones":["east"]}}`

// longTimeout is a client's timeout where the request must not time out on a slow machine, in milliseconds.
const longTimeout = "30000"

// withLongDeadlines returns a configuration with the classes' deadlines raised to longTimeout.
func withLongDeadlines(text string) string {
	return strings.ReplaceAll(text, `"Deadline":2000000`, `"Deadline":30000000`)
}

// killLimit is the time after SIGTERM at which SIGKILL may follow, by the protocol.
const killLimit = (2000 + killGrace) * time.Millisecond

// routerProcess is a running router and its two edge caches, with a log of the commands that arrived at them.
type routerProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen string // address for clients
	config string // path of the configuration
	text   string // text of the configuration
	log    *logBuffer

	mu sync.Mutex
	// requestLog has "GET id" and "DROP id" in the order of arrival, and "END id" for each GET when its connection ends.
	requestLog []string
	// conns are the connections on which commands arrived, by the request's id.
	conns map[string]net.Conn
}

// logBuffer holds the log of a process. It can be read while the process writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// launch starts a router, after changes to its command. If pipe is true, the configuration is a named pipe, and
// launch returns its write end once the router has opened it for reading.
func launch(t *testing.T, pipe bool, changes ...func(*exec.Cmd)) (*routerProcess, *os.File) {
	t.Helper()
	discovery, one, two := testwait.Listen(t), testwait.Listen(t), testwait.Listen(t)
	p := &routerProcess{
		t:      t,
		listen: loopback.FreeAddress(),
		config: filepath.Join(t.TempDir(), "config.json"),
		text:   fmt.Sprintf(twoCachesConfig, discovery.Addr(), one.Addr(), two.Addr()),
		log:    &logBuffer{},
		conns:  map[string]net.Conn{},
	}
	for _, l := range []net.Listener{one, two} {
		go p.serveCache(l)
	}
	if err := p.writeConfig(pipe); err != nil {
		t.Fatal(err)
	}
	p.cmd = routerCommand(p.listen, p.config)
	p.cmd.Stderr = p.log
	for _, change := range changes {
		change(p.cmd)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("requests at the caches: %q; log: %s", p.requestLog, p.log)
		}
	})
	if !pipe {
		return p, nil
	}
	return p, p.openPipe()
}

// routerCommand returns a command that runs the test binary as a router.
func routerCommand(listen, config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsRouterEnv+"=1", "GORACE=atexit_sleep_ms=0",
		"RELAY_NAME=n1", "RELAY_LISTEN="+listen, "RELAY_CONFIG="+config)
	return cmd
}

// writeConfig writes the configuration, or creates a named pipe in its place.
func (p *routerProcess) writeConfig(pipe bool) error {
	if pipe {
		return syscall.Mkfifo(p.config, 0o600)
	}
	return os.WriteFile(p.config, []byte(p.text), 0o600)
}

// openPipe opens the configuration's pipe for writing, which blocks until the router opens it for reading.
func (p *routerProcess) openPipe() (configPipe *os.File) {
	p.t.Helper()
	var err error
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		configPipe, err = os.OpenFile(p.config, os.O_WRONLY, 0)
	}()
	testwait.Receive(p.t, opened, "the router to read its configuration")
	if err != nil {
		p.t.Fatal(err)
	}
	return configPipe
}

// serveCache accepts the connections of an edge cache that logs commands and sends no responses.
func (p *routerProcess) serveCache(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go p.record(nc)
	}
}

// record logs the commands on a connection to a cache until it ends.
func (p *routerProcess) record(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	var ids []string
	for {
		parts, err := resp.ReadArray(in)
		p.mu.Lock()
		if err != nil {
			for _, id := range ids {
				p.requestLog = append(p.requestLog, "END "+id)
			}
			p.mu.Unlock()
			return
		}
		verb, id := string(parts[0]), string(parts[1])
		p.requestLog = append(p.requestLog, verb+" "+id)
		p.conns[id] = nc
		p.mu.Unlock()
		if verb == "GET" {
			ids = append(ids, id)
		}
	}
}

// await returns once the request log has a line.
func (p *routerProcess) await(line string) {
	p.t.Helper()
	testwait.Until(p.t, line+" at a cache", func() bool { return p.count(line) > 0 })
}

// awaitAny waits until the request log has one of the lines, or the process has logged its final counters. It reports
// whether the log has one.
func (p *routerProcess) awaitAny(lines ...string) bool {
	p.t.Helper()
	hasLine := func() bool {
		return slices.ContainsFunc(lines, func(line string) bool { return p.count(line) > 0 })
	}
	testwait.Until(p.t, strings.Join(lines, " or ")+" at a cache", func() bool {
		return hasLine() || strings.Contains(p.log.String(), `"message":"counters"`)
	})
	return hasLine()
}

func (p *routerProcess) count(line string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.requestLog {
		if l == line {
			n++
		}
	}
	return n
}

// closeFromCache closes a request's connection from the cache's side, and returns once the router has closed it too.
func (p *routerProcess) closeFromCache(ref string) {
	p.t.Helper()
	p.mu.Lock()
	nc := p.conns[ref].(*net.TCPConn)
	p.mu.Unlock()
	err := nc.CloseWrite()
	if err != nil && !errors.Is(err, net.ErrClosed) { // the router closes a connection that was silent for long
		p.t.Fatal(err)
	}
	p.await("END " + ref)
}

func (p *routerProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// wait waits until the process has exited.
func (p *routerProcess) wait() error {
	p.t.Helper()
	waited := make(chan error, 1)
	go func() { waited <- p.cmd.Wait() }()
	return testwait.Receive(p.t, waited, "the router process to exit")
}

// awaitExit waits until the process has exited and returns the stopwatch's time. Another exit code than 0 fails the
// test.
func (p *routerProcess) awaitExit(w *testwait.Stopwatch) time.Duration {
	p.t.Helper()
	if err := p.wait(); err != nil {
		p.t.Errorf("exited with %v; log: %s", err, p.log)
	}
	return w.Elapsed()
}
