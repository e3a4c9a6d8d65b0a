// Package rig plays the cases of the review. It starts the router with the command of the deploy file, and plays the
// clients, the servers and the notice board on loopback. "rig N" plays case N, and exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trouble reports whether the disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

// rig holds what a case needs: the folders, the record and the processes that it has started.
type rig struct {
	root string // of the repository
	dir  string // of the case
	tmp  string // temporary folder

	mu      sync.Mutex
	record  *os.File
	started time.Time
	routers []*router
}

// cases holds the cases by name.
var cases = map[string]func(*rig) (int, error){}

// The routers die with the thread that starts them (Pdeathsig), so this must be the main one.
func init() { runtime.LockOSThread() }

// TestMain plays the case that the command line names. The driver is built with "go test -c": the files of the repository
// that are not tests belong to known folders, and review is none.
func TestMain(*testing.M) {
	time.AfterFunc(115*time.Second, func() { os.Exit(exitNotRun) })
	code, err := play(os.Args[1])
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = exitNotRun
	}
	os.Exit(code)
}

func play(name string) (code int, err error) {
	run, ok := cases[name]
	if !ok {
		return exitNotRun, errors.New("no such case")
	}
	root, err := filepath.Abs(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		return exitNotRun, err
	}
	r := &rig{root: root, dir: filepath.Join(root, "review", name), started: time.Now()}
	if r.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(r.tmp)
	if r.record, err = os.Create(filepath.Join(r.dir, "record.txt")); err != nil {
		return exitNotRun, err
	}
	defer r.record.Close()
	r.note("case %s, disruption played: %v", name, trouble)
	defer r.stopRouters()
	code, err = run(r)
	r.note("exit code %d, error %v", code, err)
	return code, err
}

// note writes a line to the record, with the milliseconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.1f ms  %s\n", float64(time.Since(r.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// router is one router process.
type router struct {
	addr   string
	mgmt   string // management address; empty: none
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// options are the parts of a configuration that cases choose.
type options struct {
	memoryMB int
	board    string
	settings map[string]any
	mgmt     bool // the router gets a management address
}

// startRouter starts a router with the command `run` of the deploy file and waits until it answers health with true.
func (r *rig) startRouter(o options) (*router, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if match == nil {
		return nil, errors.New("no run in the deploy file")
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(r.tmp, "config.json")
	doc, err := json.Marshal(map[string]any{
		"name": "n0", "listen": addr, "seed": "8c1f30d27a5be964",
		"limits":           map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": 1024},
		"board":            o.board,
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known":    map[string]any{"rev": 0, "notices": []any{}},
		"settings": o.settings,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, doc, 0o600); err != nil {
		return nil, err
	}
	state := filepath.Join(r.tmp, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	p := &router{addr: addr, exited: make(chan struct{}), log: filepath.Join(r.tmp, "router.log")}
	out, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+addr, "RELAY_CONFIG="+config, "TMPDIR="+state)
	if o.mgmt {
		if p.mgmt, err = freeAddr(); err != nil {
			return nil, err
		}
		p.cmd.Env = append(p.cmd.Env, "RELAY_MGMT="+p.mgmt)
	}
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.routers = append(r.routers, p)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	r.note("router started by %q, memory_mb %d", match[1], o.memoryMB)
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(addr)
		if err != nil {
			continue
		}
		a := c.wait(c.health(), 500*time.Millisecond)
		c.close()
		if a.kind == answerServed && a.ready {
			r.note("router answers health with true")
			return p, nil
		}
	}
	return nil, errors.New("router not ready within 30 s")
}

// hasExited reports whether the process has ended.
func (p *router) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// residentMB returns the resident memory of the process that is not backed by files, in MB.
func (p *router) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	match := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(match[1]), 64)
	return kb / 1024
}

// stopRouters ends all routers, and adds the ends of their logs to the record.
func (r *rig) stopRouters() {
	for _, p := range r.routers {
		if !p.hasExited() {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(5 * time.Second):
				_ = p.cmd.Process.Kill()
				<-p.exited
			}
		}
		r.note("router ended: %v", p.cmd.ProcessState)
		if text, err := os.ReadFile(p.log); err == nil {
			r.note("log of the router (last 4 KB):\n%s", text[max(0, len(text)-4096):])
		}
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// smallSettings returns the settings of a small deployment with one router: those of the wire page's example, for one
// depot.
func smallSettings() map[string]any {
	class := func(name, effect string, gain, stretch float64, promise, deadline, span int) map[string]any {
		return map[string]any{
			"Name": name, "Idempotency": effect, "Gain": gain, "AimStretch": stretch, "Promise": promise * 1000,
			"Deadline": deadline * 1000, "MemorySpan": span * 1000, "Group": "all", "LateWorth": 0.15, "Stream": false,
		}
	}
	return map[string]any{
		"Classes": []any{
			class("screen-video", "read_like", 2, 1.6, 600, 6000, 5000),
			class("catalogue", "read_like", 1, 2, 400, 3000, 5000),
			class("stock-report", "idempotency_key", 3, 0, 600, 3000, 6000),
		},
		"Clients": map[string]any{"MarksRetry": false}, "CountedBy": "request", "Discovery": "automatic",
		"Extra": map[string]any{
			"AttachedTo": []int{0, 0}, "FreshFor": []int{0, 20000000, 0}, "GraceFor": []int{0, 10000000, 0},
			"HeedWithin": 300000, "MasterKind": 2, "MultiPart": []bool{true, false, false}, "Neighbours": "silent",
			"NotesGiven": "all", "OriginFall": 3000000, "PaceKbPerS": 2100.0, "ParentFloor": 0.06,
			"ParentWarmsIn": 20000000, "PassOn": []bool{false, false, true}, "PurgeTakes": 6000000,
			"RootFallMultiple": 0.0, "SeatsByZone": []int{0, 1}, "SharesFills": false, "ShieldKind": 1,
			"StaleEarns": []float64{0.7, 0.7, 0.7}, "Straight": true, "TransitPrice": 0.06, "UpperFallMultiple": 2.0,
			"ZoneLinkKbPerS": []float64{0, 17064},
		},
		"Guarantees": map[string]any{
			"AskWithin": 10000000, "Cold": 16000000, "ColdFrom": 0.18, "Fall": 3000000, "GraceToAnswer": 8000,
			"StopSendingWithin": 500000, "TipMultiple": 3.0,
		},
		"KindOfService": "edge", "Kinds": []string{"small-box", "parent", "origin"}, "Layer": 0, "OverShareWorth": 0.1,
		"Permissions": map[string]any{
			"Cancelling": true, "CpuUsPerRequest": 0.0, "CpuUsPerS": 568837, "DialTimeout": 400000, "IdleClose": 30000000,
			"MaxAttempts": 8, "MaxOpen": 22753, "MaxRetryAfter": 1000000, "MaxStreams": 32, "MayTell": true,
			"Probing": false, "RetryAfter": true, "SecondCopies": false,
		},
		"Prices": map[string]any{"Origin": 0.089, "Probe": 0.0, "Waste": 0.087},
		"Rank":   0, "Report": map[string]any{"Fields": []string{}, "How": "silent"}, "Siblings": 1, "Tenants": []any{},
		"Tick": 2000, "Tiers": []string{"depot-caches"}, "WeightSource": "nominal", "Zone": "edge-1",
		"Zones": []string{"central", "edge-1"},
	}
}
