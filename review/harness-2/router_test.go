package reviewtwo

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// freeAddr returns a loopback address that is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// settings are those of a small deployment, in the form of the settings page.
func settings() map[string]any {
	class := func(name, effect string, promise, deadline int, gain float64) map[string]any {
		return map[string]any{"Name": name, "Idempotency": effect, "Promise": promise * 1000, "Deadline": deadline * 1000,
			"Gain": gain, "LateWorth": 0.1, "MemorySpan": 6000000, "Group": "all", "Stream": false, "AimStretch": 1.6}
	}
	return map[string]any{
		"Classes": []any{
			class("screen-video", "read_like", 600, 6000, 2), class("catalogue", "read_like", 400, 3000, 1),
			class("stock-report", "idempotency_key", 600, 3000, 3),
		},
		"Clients": map[string]any{"MarksRetry": false}, "CountedBy": "request", "Discovery": "automatic",
		"Extra": map[string]any{
			"AttachedTo": []int{0, 0}, "FreshFor": []int{0, 20000000, 0}, "GraceFor": []int{0, 10000000, 0}, "HeedWithin": 300000,
			"MasterKind": 2, "MultiPart": []bool{true, false, false}, "Neighbours": "silent", "NotesGiven": "all",
			"OriginFall": 3000000, "PaceKbPerS": 2100.0, "ParentFloor": 0.06, "ParentWarmsIn": 20000000,
			"PassOn": []bool{false, false, true}, "PurgeTakes": 6000000, "RootFallMultiple": 0.0, "SeatsByZone": []int{0, 1},
			"SharesFills": false, "ShieldKind": 1, "StaleEarns": []float64{0.7, 0.7, 0.7}, "Straight": true, "TransitPrice": 0.06,
			"UpperFallMultiple": 2.0, "ZoneLinkKbPerS": []float64{0, 17064},
		},
		"Guarantees": map[string]any{"AskWithin": 10000000, "Cold": 16000000, "ColdFrom": 0.18, "Fall": 3000000,
			"GraceToAnswer": 8000, "StopSendingWithin": 500000, "TipMultiple": 3.0},
		"KindOfService": "edge", "Kinds": []string{"small-box", "parent", "origin"}, "Layer": 0, "OverShareWorth": 0.1,
		"Permissions": map[string]any{"Cancelling": true, "CpuUsPerRequest": 0.0, "CpuUsPerS": 568837, "DialTimeout": 400000,
			"IdleClose": 30000000, "MaxAttempts": 8, "MaxOpen": 22753, "MaxRetryAfter": 1000000, "MaxStreams": 32, "MayTell": false,
			"Probing": false, "RetryAfter": true, "SecondCopies": false},
		"Prices": map[string]any{"Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08,
			"Moves": 0.0, "Origin": 0.089, "Peer": 0.0075, "Probe": 0.0, "Waste": 0.087},
		"Rank": 0, "Report": map[string]any{"Fields": []string{}, "How": "silent"},
		"ScoringMix": map[string]any{"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
		"Siblings":   1, "Tenants": []any{}, "Tick": 2000, "Tiers": []string{"depot-caches"}, "WeightSource": "nominal",
		"Zone": "edge-1", "Zones": []string{"central", "edge-1"},
	}
}

// config is what the platform writes for one router.
type config struct {
	board    string
	memory   float64
	sockets  int
	settings map[string]any
	known    []entry
	mgmt     string
}

func (c *config) write(path string) error {
	states := []string{"Ready", "Terminating", "Gone"}
	kinds := c.settings["Kinds"].([]string)
	zones := c.settings["Zones"].([]string)
	targets := []any{}
	for _, e := range c.known {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", e.id), "endpoint": e.addr, "az": zones[e.zone],
			"model": kinds[e.kind], "pod_group": e.cell, "state": states[e.state], "capacity_hint": e.weight, "boot_ms": e.started})
	}
	doc := map[string]any{
		"name": "n0", "seed": hexID(8), "limits": map[string]any{"cores": 1.0, "memory_mb": c.memory, "sockets": c.sockets},
		"peers": []string{}, "board": c.board, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1,
			"pool": map[string]any{"rev": 1, "all": true, "targets": targets}}}},
		"settings": c.settings,
	}
	if c.mgmt != "" {
		doc["mgmt"] = c.mgmt
	}
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// process is one process of the router, started with the command of the deploy file.
type process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run")
	}
	return string(m[1]), nil
}

func startRouter(root, logPath string, listener *os.File, env ...string) (*process, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), log: log, exited: make(chan struct{})}
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if listener != nil { // the platform passes it as descriptor 4
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		p.cmd.ExtraFiles = []*os.File{null, listener}
		p.cmd.Env = append(p.cmd.Env, "RELAY_SOCKET_FD=4")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) end() {
	if p.running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	<-p.exited
	p.log.Close()
}

// awaitReady waits until the router answers health with true.
func awaitReady(rec *record, addr string, p *process) error {
	for range 200 {
		if !p.running() {
			return fmt.Errorf("the router ended: %v", p.err)
		}
		if c, err := dialClient(rec, "front", addr); err == nil {
			c.start()
			is, err := c.health()
			c.conn.Close()
			if err == nil && is {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the router did not get ready")
}
