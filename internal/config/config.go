// Package config reads and checks what a request router is told at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"spantack/internal/clock"
	"spantack/internal/discovery"
	"spantack/internal/router"
	"spantack/routing"
)

// Config is a checked configuration. Times are milliseconds.
type Config struct {
	Name          string
	ListenAddr    string
	AdminAddr     string // the second address; empty: none
	ListenerFD    int    // descriptor of an inherited listening socket for clients; -1: none
	StateDir      string // directory that the processes of this router share; empty: none
	DiscoveryAddr string // of the discovery service: the field board
	Seed          int64

	MemoryMB   float64
	MaxSockets int

	Settings     routing.Settings
	DialTimeout  float64
	IdleTimeout  float64
	MaxStreams   int
	MaxSendDelay float64 // the least time after which a drain or purge binds
	MaxDeadline  float64 // the longest deadline of a class

	Fleet Fleet

	LastEventID   uint64 // number of the last event of Notices
	InitialEvents []router.WatchEvent
	Names         discovery.Names

	keys objectKeys // of the file
}

// Fleet is what the file says of the other routers of the tier, for datagrams between them.
type Fleet struct {
	GossipEnabled bool // the settings allow datagrams, and the file gives the addresses
	Rank          int
	ListenAddr    string
	Members       []netip.AddrPort // by rank, this router's own too
	BroadcastAddr netip.AddrPort   // reaches all
}

type document struct {
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddr      string          `json:"board"`
	FleetListenAddr    string          `json:"peer_listen"`
	FleetMembers       []string        `json:"peers"`
	FleetBroadcastAddr string          `json:"peers_all"`
	AdminAddr          string          `json:"mgmt"`
	InitialEvents      json.RawMessage `json:"known"`
	Settings           json.RawMessage `json:"settings"`
}

// transportSettings holds the settings that the decision module has no use for.
type transportSettings struct {
	Rank        int `json:"Rank"`
	Permissions struct {
		MayTell    bool  `json:"MayTell"`
		IdleClose  int64 `json:"IdleClose"`
		MaxStreams int   `json:"MaxStreams"`
	} `json:"Permissions"`
}

const (
	minSockets  = 64
	minMemoryMB = 32
	// defaultIdleTimeoutMicros is the idle close where the settings name none: 30 s, in microseconds.
	defaultIdleTimeoutMicros = 30_000_000
)

// Load reads the environment and the file that it names.
func Load(getenv func(string) string) (*Config, error) {
	for _, name := range []string{"RELAY_NAME", "RELAY_LISTEN", "RELAY_CONFIG"} {
		if getenv(name) == "" {
			return nil, fmt.Errorf("%s: missing", name)
		}
	}
	text, err := os.ReadFile(getenv("RELAY_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, err
	}
	c.Name, c.ListenAddr = getenv("RELAY_NAME"), getenv("RELAY_LISTEN")
	if _, err := netip.ParseAddrPort(c.ListenAddr); err != nil {
		return nil, fmt.Errorf("RELAY_LISTEN: %w", err)
	}
	if addr := getenv("RELAY_MGMT"); addr != "" {
		c.AdminAddr = addr
	}
	if c.AdminAddr != "" {
		if _, err := netip.ParseAddrPort(c.AdminAddr); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
		c.StateDir = getenv("TMPDIR")
	}
	if fd := getenv("RELAY_SOCKET_FD"); fd != "" {
		if c.ListenerFD, err = strconv.Atoi(fd); err != nil || c.ListenerFD <= 2 {
			return nil, fmt.Errorf("RELAY_SOCKET_FD: %q is no descriptor above 2", fd)
		}
	}
	return c, nil
}

// Parse reads the configuration's JSON. An error names the field at fault.
func Parse(text []byte) (*Config, error) {
	var d document
	if err := decodeJSON("RELAY_CONFIG", text, &d); err != nil {
		return nil, err
	}
	keys, err := collectKeys(text)
	if err != nil {
		return nil, err
	}
	c := &Config{keys: keys, DiscoveryAddr: d.DiscoveryAddr, AdminAddr: d.AdminAddr, ListenerFD: -1, MemoryMB: d.Limits.MemoryMB, MaxSockets: d.Limits.Sockets}
	seed, err := strconv.ParseUint(d.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if _, err := netip.ParseAddrPort(d.DiscoveryAddr); err != nil {
		return nil, fmt.Errorf("board: %w", err)
	}
	switch {
	case c.MemoryMB < minMemoryMB:
		return nil, fmt.Errorf("limits.memory_mb: %v is under %d", c.MemoryMB, minMemoryMB)
	case c.MaxSockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.MaxSockets, minSockets)
	case d.Settings == nil:
		return nil, errors.New("settings: missing")
	case d.InitialEvents == nil:
		return nil, errors.New("known: missing")
	}
	if err := c.parseSettings(d.Settings); err != nil {
		return nil, err
	}
	if err := c.parseFleet(&d); err != nil {
		return nil, err
	}
	if c.LastEventID, c.InitialEvents, err = discovery.ParseInitialEvents(d.InitialEvents, c.Names); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	return c, nil
}

// parseFleet reads the addresses for datagrams, where the settings allow them and the file gives any.
func (c *Config) parseFleet(d *document) (err error) {
	if !c.Fleet.GossipEnabled || d.FleetListenAddr == "" && len(d.FleetMembers) == 0 {
		c.Fleet.GossipEnabled = false
		return nil
	}
	if _, err = netip.ParseAddrPort(d.FleetListenAddr); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	c.Fleet.ListenAddr = d.FleetListenAddr
	if c.Fleet.BroadcastAddr, err = netip.ParseAddrPort(d.FleetBroadcastAddr); err != nil {
		return fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range d.FleetMembers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Fleet.Members = append(c.Fleet.Members, addr)
	}
	if c.Fleet.Rank < 0 || c.Fleet.Rank >= len(c.Fleet.Members) {
		return fmt.Errorf("settings.Rank: %d of %d peers", c.Fleet.Rank, len(c.Fleet.Members))
	}
	return nil
}

func (c *Config) parseSettings(text []byte) error {
	var t transportSettings
	if err := decodeJSON("settings", text, &c.Settings); err != nil {
		return err
	}
	if err := decodeJSON("settings", text, &t); err != nil {
		return err
	}
	set := &c.Settings
	if t.Permissions.IdleClose == 0 {
		t.Permissions.IdleClose = defaultIdleTimeoutMicros
	}
	switch {
	case set.Permissions.DialTimeout <= 0:
		return errors.New("settings.Permissions.DialTimeout: must be positive")
	case t.Permissions.IdleClose < 0:
		return errors.New("settings.Permissions.IdleClose: must be positive")
	case t.Permissions.MaxStreams <= 0:
		return errors.New("settings.Permissions.MaxStreams: must be positive")
	case len(set.Zones) == 0:
		return errors.New("settings.Zones: none")
	}
	c.DialTimeout = clock.Millis(set.Permissions.DialTimeout)
	c.IdleTimeout = clock.Millis(t.Permissions.IdleClose)
	c.MaxStreams = t.Permissions.MaxStreams
	c.Fleet.GossipEnabled, c.Fleet.Rank = t.Permissions.MayTell, t.Rank
	c.Names = discovery.Names{Zones: set.Zones, Kinds: set.Kinds}
	for _, us := range []int64{set.Guarantees.DrainGracePeriod, set.Hierarchy.PurgeGracePeriod} {
		if ms := clock.Millis(us); us > 0 && (c.MaxSendDelay == 0 || ms < c.MaxSendDelay) {
			c.MaxSendDelay = ms
		}
	}
	for i, class := range set.Classes {
		if slices.ContainsFunc(set.Classes[:i], func(o routing.Class) bool { return o.Name == class.Name }) {
			return fmt.Errorf("settings.Classes[%d].Name: %q stands twice", i, class.Name)
		}
		c.MaxDeadline = max(c.MaxDeadline, clock.Millis(class.Deadline))
	}
	return nil
}

// decodeJSON names the field that holds a value of the wrong type.
func decodeJSON(what string, text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s.%s: a %s does not fit", what, wrong.Field, wrong.Value)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}
