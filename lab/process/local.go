// Package process brings up a small deployment on loopback: stand-ins for depot caches, area cache, head office and discovery
// service, and real router processes between them.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"spantack/internal/clock"
	"spantack/internal/loopback"
	"spantack/internal/msgpackrpc"
	"spantack/standin/cache"
	"spantack/standin/discovery"
	"spantack/standin/link"
)

// Options describe a deployment of one depot.
type Options struct {
	Routers           int
	Sites             int // that caches and routers are dealt out to in turn; 0: one
	EdgeCaches        int
	Parents           int    // area caches; 0: one
	Features          string // text of a features file; empty: none
	FaultScript       func(cache.Request) cache.Fault
	ResponseDelay     time.Duration // of a cache; above it three times as much
	RouterBinary      string        // the router; empty: built for the purpose
	ExtraFlags        []string      // further ones of its command line
	HasAdminAPI       bool          // routers have a second address, and get their listening socket handed down
	HasGossip         bool          // routers may send one another datagrams, over a mesh that the caller may spoil
	GossipSeed        uint64        // of that mesh
	HasDiscoveryRelay bool          // routers reach the discovery service by a relay: DiscoveryRelay
}

// Kinds of server, by their places in the settings.
const (
	kindEdgeCache = iota
	kindParent
	kindOrigin
)

// Deployment is one that runs.
type Deployment struct {
	RequestLog *cache.RequestLog
	Discovery  *discovery.Service
	EdgeCaches []*cache.Server
	Parents    []*cache.Server
	Routers    []*Router
	Mesh       *link.Mesh // nil without Peers
	// DiscoveryRelay is the relay between routers and the discovery service; nil without Options.HasDiscoveryRelay.
	DiscoveryRelay *link.Relay

	gossipAddrs   []netip.AddrPort
	dir           string
	options       Options
	routerBinary  string
	mu            sync.Mutex
	serversByName map[string]*cache.Server
	serverCount   uint32
	endpoints     []discovery.Endpoint
}

// Router is one router process.
type Router struct {
	Addr       string
	AdminAddr  string // the second address; empty: none
	LogPath    string // path of its log
	cmd        *exec.Cmd
	exited     chan error
	place      int
	startCount int
	listener   *os.File // the listening socket that its processes inherit; nil: none
}

// readyTimeoutMillis is how long a router may take until it is ready, in milliseconds.
const readyTimeoutMillis = 10_000

// Build compiles the router into a folder. It needs the Go tool chain and the project's sources around.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "spantack")
	cmd := exec.Command("go", "build", "-o", binary, "spantack/cmd/spantack")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the router: %w: %s", err, bytes.TrimSpace(out))
	}
	return binary, nil
}

// Start brings a deployment up; what it started before an error is ended again.
func Start(ctx context.Context, opt Options) (d *Deployment, err error) {
	dir, err := os.MkdirTemp("", "spantack-local-")
	if err != nil {
		return nil, err
	}
	d = &Deployment{RequestLog: cache.NewRequestLog(), dir: dir, options: opt, routerBinary: opt.RouterBinary, serversByName: map[string]*cache.Server{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, d.Stop())
		}
	}()
	if d.routerBinary == "" {
		if d.routerBinary, err = Build(dir); err != nil {
			return d, err
		}
	}
	if d.Discovery, err = discovery.Listen(); err != nil {
		return d, err
	}
	if opt.HasDiscoveryRelay {
		if d.DiscoveryRelay, err = link.NewRelay(d.Discovery.Addr()); err != nil {
			return d, err
		}
	}
	if _, err = d.addServer(kindOrigin, "", 0); err != nil {
		return d, err
	}
	for range max(opt.Parents, 1) {
		s, err := d.addServer(kindParent, "", 0)
		if err != nil {
			return d, err
		}
		d.Parents = append(d.Parents, s)
	}
	for range opt.EdgeCaches {
		s, err := d.addServer(kindEdgeCache, "", 0)
		if err != nil {
			return d, err
		}
		d.EdgeCaches = append(d.EdgeCaches, s)
	}
	d.Discovery.Publish(true, d.endpoints...)
	if opt.Features != "" {
		if err = d.WriteFeatures(opt.Features); err != nil {
			return d, err
		}
	}
	if opt.HasGossip {
		if err = d.openMesh(); err != nil {
			return d, err
		}
	}
	for i := range opt.Routers {
		r, err := d.startRouter(i, nil)
		if err != nil {
			return d, err
		}
		d.Routers = append(d.Routers, r)
	}
	for _, r := range d.Routers {
		if err = r.waitUntilReady(ctx); err != nil {
			return d, err
		}
	}
	return d, nil
}

// addServer starts a server and puts it into the list that routers begin with.
func (d *Deployment) addServer(kind byte, addr string, started int64) (*cache.Server, error) {
	d.serverCount++
	delay := d.options.ResponseDelay
	if kind != kindEdgeCache {
		delay *= 3
	}
	opt := cache.Options{ID: d.serverCount * 2654435761, Addr: addr, IsOrigin: kind == kindOrigin, Delay: delay, FindServer: d.serverByName, RequestLog: d.RequestLog}
	if kind == kindEdgeCache {
		opt.InjectFault = d.options.FaultScript
	}
	s, err := cache.Listen(opt)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.serversByName[s.Name()] = s
	d.mu.Unlock()
	zone := byte(0)
	if kind == kindEdgeCache {
		zone = byte(1 + len(d.EdgeCaches)%max(d.options.Sites, 1))
	}
	d.endpoints = append(d.endpoints, discovery.Endpoint{ID: opt.ID, Addr: s.Addr(), Zone: zone, Kind: kind, Weight: 4, StartedAtMillis: started})
	return s, nil
}

// ReplaceCache takes a depot cache out of service as a deploy does: it drains for a while, goes, and a new machine, with nothing in its store,
// is listed in its place; at the same address if that is asked for.
func (d *Deployment) ReplaceCache(which int, drain time.Duration, sameAddr bool) error {
	old := d.EdgeCaches[which]
	at := -1
	for i, s := range d.endpoints {
		if s.Addr == old.Addr() && fmt.Sprintf("s-%08x", s.ID) == old.Name() {
			at = i
		}
	}
	if at < 0 {
		return fmt.Errorf("cache %d is not listed", which)
	}
	row := d.endpoints[at]
	row.State = 1
	d.Discovery.Publish(false, row)
	time.Sleep(drain)
	old.Close()
	row.State = 2
	d.Discovery.Publish(false, row)
	d.endpoints = append(d.endpoints[:at], d.endpoints[at+1:]...)
	addr := ""
	if sameAddr {
		addr = row.Addr.String()
	}
	fresh, err := d.addServer(kindEdgeCache, addr, time.Now().UnixMilli())
	if err != nil {
		return err
	}
	d.EdgeCaches[which] = fresh
	d.Discovery.Publish(false, d.endpoints[len(d.endpoints)-1])
	return nil
}

// ParentName is the name that an area cache will have, before it is there.
func ParentName(i int) string { return fmt.Sprintf("s-%08x", uint32(2+i)*2654435761) }

// KillParent ends an area cache as a power cut does: nothing is listed, its connections break, and fills that name it fail.
func (d *Deployment) KillParent(area int) {
	s := d.Parents[area]
	d.mu.Lock()
	delete(d.serversByName, s.Name())
	d.mu.Unlock()
	s.Close()
}

func (d *Deployment) serverByName(id string) *cache.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serversByName[id]
}

// WriteFeatures replaces the features file; routers take it on SIGHUP.
func (d *Deployment) WriteFeatures(text string) error {
	return os.WriteFile(filepath.Join(d.dir, "features.jsonnet"), []byte(text), 0o600)
}

// Settings are those of the deployment: the three classes of a depot.
func Settings(routers int) map[string]any {
	const ms = 1000
	class := func(name string, promise, deadline int, gain float64, effect string) map[string]any {
		return map[string]any{"Name": name, "AimStretch": 2, "Promise": promise * ms, "Deadline": deadline * ms, "Gain": gain, "LateWorth": 0.2,
			"Group": "all", "Idempotency": effect, "MemorySpan": 6000 * ms}
	}
	return map[string]any{
		"Classes": []any{class("screen-video", 600, 6000, 2, "read_like"), class("catalogue", 400, 3000, 1, "read_like"),
			class("stock-report", 600, 3000, 3, "idempotency_key")},
		"Discovery": "automatic",
		"Extra": map[string]any{"FreshFor": []int{0, 20_000 * ms, 0}, "GraceFor": []int{0, 10_000 * ms, 0}, "HeedWithin": 300 * ms,
			"MasterKind": kindOrigin, "ShieldKind": kindParent, "NotesGiven": "all", "PaceKbPerS": 1000, "ParentFloor": 0.1, "ParentWarmsIn": 17_000 * ms,
			"PassOn": []bool{false, false, true}, "PurgeTakes": 6000 * ms, "SeatsByZone": []int{0, routers}, "Straight": true, "UpperFallMultiple": 2},
		"Guarantees": map[string]any{"AskWithin": 10_000 * ms, "Cold": 11_000 * ms, "ColdFrom": 0.3, "Fall": 3000 * ms, "GraceToAnswer": 8 * ms,
			"StopSendingWithin": 500 * ms, "TipMultiple": 3},
		"Kinds":       []string{"small-box", "area", "head-office"},
		"Permissions": map[string]any{"Cancelling": true, "DialTimeout": 400 * ms, "IdleClose": 30_000 * ms, "MaxAttempts": 8, "MaxRetryAfter": 1000 * ms, "MaxStreams": 32, "RetryAfter": true},
		"Siblings":    routers, "WeightSource": "nominal", "Zone": "depot-00", "Zones": []string{"hub", "depot-00"},
	}
}

// routerSettings are those of one router: its depot and its rank.
func (d *Deployment) routerSettings(i int) map[string]any {
	set := Settings(d.options.Routers)
	set["Rank"] = i
	if depots := d.options.Sites; depots > 1 {
		zones, seats := []string{"hub"}, []int{0}
		for at := range depots {
			zones, seats = append(zones, fmt.Sprintf("depot-%02d", at)), append(seats, (d.options.Routers-at+depots-1)/depots)
		}
		set["Zones"], set["Zone"] = zones, zones[1+i%depots]
		set["Extra"].(map[string]any)["SeatsByZone"] = seats
	}
	return set
}

// startRouter runs a router's process; before is the one that it takes over from, nil for the first.
func (d *Deployment) startRouter(i int, before *Router) (r *Router, err error) {
	name := fmt.Sprintf("n%d", i)
	r = &Router{place: i, exited: make(chan error, 1)}
	if before != nil {
		r.Addr, r.listener, r.startCount = before.Addr, before.listener, before.startCount+1
	} else {
		r.Addr = loopback.FreeAddress()
		if d.options.HasAdminAPI {
			if r.listener, r.Addr, err = openListener(); err != nil {
				return nil, err
			}
		}
		if err := d.Configure(i, nil); err != nil {
			return nil, err
		}
	}
	r.LogPath = filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", name, r.startCount))
	log, err := os.Create(r.LogPath)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has its own
	r.cmd = exec.Command(d.routerBinary, d.options.ExtraFlags...)
	if d.options.Features != "" {
		r.cmd.Args = append(r.cmd.Args, "--features", filepath.Join(d.dir, "features.jsonnet"))
	}
	r.cmd.Env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_LISTEN="+r.Addr, "RELAY_CONFIG="+d.configPath(i))
	if d.options.HasAdminAPI {
		r.AdminAddr = loopback.FreeAddress()
		stateDir := filepath.Join(d.dir, name)
		if err := os.MkdirAll(stateDir, 0o700); err != nil {
			return nil, err
		}
		r.cmd.ExtraFiles = []*os.File{r.listener} // the first one is descriptor 3
		r.cmd.Env = append(r.cmd.Env, "RELAY_MGMT="+r.AdminAddr, "RELAY_SOCKET_FD=3", "TMPDIR="+stateDir)
	}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { r.exited <- r.cmd.Wait() }()
	return r, nil
}

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

func (d *Deployment) configPath(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("n%d.json", i))
}

// discoveryAddr returns the address under which routers reach the discovery service.
func (d *Deployment) discoveryAddr() string {
	if d.DiscoveryRelay != nil {
		return d.DiscoveryRelay.Addr()
	}
	return d.Discovery.Addr()
}

// Configure writes a router's configuration; change, if not nil, may do what it likes with the document before. Routers take it on SIGHUP.
func (d *Deployment) Configure(i int, change func(doc map[string]any)) error {
	doc := map[string]any{"seed": fmt.Sprintf("%016x", 7919*(i+1)), "limits": map[string]any{"memory_mb": 192, "sockets": 512},
		"board": d.discoveryAddr(), "known": map[string]any{"rev": 0, "notices": []any{}}, "settings": d.routerSettings(i)}
	if d.Mesh != nil {
		d.configureGossip(i, doc)
	}
	if change != nil {
		change(doc)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(d.configPath(i), text, 0o600)
}

// ReplaceRouter starts a router's program anew beside the process that serves, and ends that one with SIGTERM once the new one says yes.
// It returns when the old one has ended.
func (d *Deployment) ReplaceRouter(ctx context.Context, i int) error {
	old := d.Routers[i]
	next, err := d.startRouter(i, old)
	if err != nil {
		return err
	}
	for begin := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if status, _, err := next.Call(ctx, http.MethodGet, "/api/ready"); err == nil && status == http.StatusOK {
			break
		}
		if time.Since(begin) > readyTimeoutMillis*time.Millisecond {
			return errors.Join(fmt.Errorf("the new process at %s says no", next.AdminAddr), next.Kill())
		}
	}
	d.Routers[i] = next
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return <-old.exited
}

// Call is one call to the second address.
func (r *Router) Call(ctx context.Context, method, path string) (status int, body string, err error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.AdminAddr+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	a, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	return a.StatusCode, string(text), err
}

// waitUntilReady returns once the router says that it is ready.
func (r *Router) waitUntilReady(ctx context.Context) error {
	now := &clock.Clock{}
	for begin := now.Now(); now.Now() < begin+readyTimeoutMillis; {
		select {
		case err := <-r.exited:
			r.exited <- err
			text, _ := os.ReadFile(r.LogPath) // the log says more than the exit code, if there is one
			return fmt.Errorf("router ended: %w: %s", err, bytes.TrimSpace(text))
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if c, err := msgpackrpc.Dial(r.Addr, 200); err == nil {
			ready, err := c.Ready(ctx)
			c.Close()
			if err == nil && ready {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router at %s not ready within %d ms", r.Addr, readyTimeoutMillis)
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// Kill ends a router as a crash would.
func (r *Router) Kill() error {
	if err := r.cmd.Process.Kill(); err != nil {
		return err
	}
	err := <-r.exited
	r.exited <- err
	return nil
}

// Stop ends all that was started and removes what it wrote. Routers end by SIGTERM, or are killed if they do not.
func (d *Deployment) Stop() error {
	var errs []error
	for _, r := range d.Routers {
		if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			errs = append(errs, err)
		}
	}
	for _, r := range d.Routers {
		select {
		case err := <-r.exited:
			r.exited <- err
		case <-time.After(6 * time.Second):
			errs = append(errs, fmt.Errorf("router at %s did not end", r.Addr), r.cmd.Process.Kill())
		}
		if r.listener != nil {
			r.listener.Close()
		}
	}
	d.mu.Lock()
	servers := d.serversByName
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	if d.DiscoveryRelay != nil {
		d.DiscoveryRelay.Close()
	}
	if d.Discovery != nil {
		d.Discovery.Close()
	}
	if d.Mesh != nil {
		d.Mesh.Close()
	}
	return errors.Join(append(errs, os.RemoveAll(d.dir))...)
}
