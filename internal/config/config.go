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
	"spantack/rules"
)

// Config is a checked configuration. Times are milliseconds.
type Config struct {
	Name          string
	Listen        string
	Manage        string // the second address; empty: none
	Socket        int    // descriptor of an inherited listening socket for clients; -1: none
	StateDir      string // directory that the processes of this router share; empty: none
	DiscoveryAddr string // of the discovery service: the field board
	Seed          int64

	MemoryMB float64
	Sockets  int

	Settings    rules.Settings
	DialTimeout float64
	IdleClose   float64
	MaxStreams  int
	MaxWait     float64 // the least time after which a drain or purge binds
	Longest     float64 // the longest deadline of a class

	Tier Tier

	LastKnown uint64 // number of the last event of Notices
	Notices   []router.Notice
	Names     discovery.Names

	keys shape // of the file
}

// Tier is what the file says of the other routers of the tier, for datagrams between them.
type Tier struct {
	May    bool // the settings allow datagrams, and the file gives the addresses
	Rank   int
	Listen string
	Peers  []netip.AddrPort // by rank, this router's own too
	All    netip.AddrPort   // reaches all
}

type document struct {
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board    string          `json:"board"`
	Listen   string          `json:"peer_listen"`
	Peers    []string        `json:"peers"`
	All      string          `json:"peers_all"`
	Manage   string          `json:"mgmt"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// transport holds the settings that the decision module has no use for.
type transport struct {
	Rank        int `json:"Rank"`
	Permissions struct {
		MayTell    bool  `json:"MayTell"`
		IdleClose  int64 `json:"IdleClose"`
		MaxStreams int   `json:"MaxStreams"`
	} `json:"Permissions"`
}

const (
	leastSockets = 64
	leastMemory  = 32
	// idleUnsaid is the idle close where the settings name none: 30 s, in microseconds.
	idleUnsaid = 30_000_000
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
	c.Name, c.Listen = getenv("RELAY_NAME"), getenv("RELAY_LISTEN")
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("RELAY_LISTEN: %w", err)
	}
	if addr := getenv("RELAY_MGMT"); addr != "" {
		c.Manage = addr
	}
	if c.Manage != "" {
		if _, err := netip.ParseAddrPort(c.Manage); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
		c.StateDir = getenv("TMPDIR")
	}
	if fd := getenv("RELAY_SOCKET_FD"); fd != "" {
		if c.Socket, err = strconv.Atoi(fd); err != nil || c.Socket <= 2 {
			return nil, fmt.Errorf("RELAY_SOCKET_FD: %q is no descriptor above 2", fd)
		}
	}
	return c, nil
}

// Parse reads the configuration's JSON. An error names the field at fault.
func Parse(text []byte) (*Config, error) {
	var d document
	if err := decode("RELAY_CONFIG", text, &d); err != nil {
		return nil, err
	}
	keys, err := shapeOf(text)
	if err != nil {
		return nil, err
	}
	c := &Config{keys: keys, DiscoveryAddr: d.Board, Manage: d.Manage, Socket: -1, MemoryMB: d.Limits.MemoryMB, Sockets: d.Limits.Sockets}
	seed, err := strconv.ParseUint(d.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if _, err := netip.ParseAddrPort(d.Board); err != nil {
		return nil, fmt.Errorf("board: %w", err)
	}
	switch {
	case c.MemoryMB < leastMemory:
		return nil, fmt.Errorf("limits.memory_mb: %v is under %d", c.MemoryMB, leastMemory)
	case c.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
	case d.Settings == nil:
		return nil, errors.New("settings: missing")
	case d.Known == nil:
		return nil, errors.New("known: missing")
	}
	if err := c.settings(d.Settings); err != nil {
		return nil, err
	}
	if err := c.tier(&d); err != nil {
		return nil, err
	}
	if c.LastKnown, c.Notices, err = discovery.ParseInitialEvents(d.Known, c.Names); err != nil {
		return nil, fmt.Errorf("known.%w", err)
	}
	return c, nil
}

// tier reads the addresses for datagrams, where the settings allow them and the file gives any.
func (c *Config) tier(d *document) (err error) {
	if !c.Tier.May || d.Listen == "" && len(d.Peers) == 0 {
		c.Tier.May = false
		return nil
	}
	if _, err = netip.ParseAddrPort(d.Listen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	c.Tier.Listen = d.Listen
	if c.Tier.All, err = netip.ParseAddrPort(d.All); err != nil {
		return fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range d.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Tier.Peers = append(c.Tier.Peers, addr)
	}
	if c.Tier.Rank < 0 || c.Tier.Rank >= len(c.Tier.Peers) {
		return fmt.Errorf("settings.Rank: %d of %d peers", c.Tier.Rank, len(c.Tier.Peers))
	}
	return nil
}

func (c *Config) settings(text []byte) error {
	var t transport
	if err := decode("settings", text, &c.Settings); err != nil {
		return err
	}
	if err := decode("settings", text, &t); err != nil {
		return err
	}
	set := &c.Settings
	if t.Permissions.IdleClose == 0 {
		t.Permissions.IdleClose = idleUnsaid
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
	c.IdleClose = clock.Millis(t.Permissions.IdleClose)
	c.MaxStreams = t.Permissions.MaxStreams
	c.Tier.May, c.Tier.Rank = t.Permissions.MayTell, t.Rank
	c.Names = discovery.Names{Zones: set.Zones, Kinds: set.Kinds}
	for _, us := range []int64{set.Guarantees.DrainGracePeriod, set.Hierarchy.PurgeGracePeriod} {
		if ms := clock.Millis(us); us > 0 && (c.MaxWait == 0 || ms < c.MaxWait) {
			c.MaxWait = ms
		}
	}
	for i, class := range set.Classes {
		if slices.ContainsFunc(set.Classes[:i], func(o rules.Class) bool { return o.Name == class.Name }) {
			return fmt.Errorf("settings.Classes[%d].Name: %q stands twice", i, class.Name)
		}
		c.Longest = max(c.Longest, clock.Millis(class.Deadline))
	}
	return nil
}

// decode names the field that holds a value of the wrong type.
func decode(what string, text []byte, into any) error {
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
