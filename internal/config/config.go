// Package config reads and validates a router's configuration, at its start and on SIGHUP. The sources are environment
// variables and the platform's configuration file. The package translates the field names of the file to those of the
// code.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"spantack/internal/discovery"
	"spantack/internal/router"
	"spantack/routing"
)

// Config is a validated configuration. Times are milliseconds, except in Settings, where they are microseconds.
type Config struct {
	Name       string
	ListenAddr string // for clients
	AdminAddr  string // for management calls; empty: none
	ListenerFD int    // file descriptor of an inherited listening socket for clients; -1: none
	StateDir   string // shared by successive processes of this router; empty: none
	Seed       int64  // seed of the random number generator

	// Limits on the process's resources.
	MemoryMB   float64
	MaxSockets int

	// Settings of the decision module, and those of connections to servers.
	Settings    routing.Settings
	DialTimeout float64
	IdleTimeout float64 // time after which servers close an unused connection
	MaxStreams  int     // concurrent requests on a connection
	MaxDeadline float64 // longest deadline of all classes
	// MaxSendDelay is the maximum time from the choice of a server until the request is written: the shorter of the
	// grace periods of drains and purges. 0: no maximum.
	MaxSendDelay float64

	Fleet Fleet

	DiscoveryAddr string // of the discovery service
	LastEventID   uint64 // number of the last of InitialEvents
	// InitialEvents are the discovery events up to the time when the file was written: the endpoint list and purges.
	InitialEvents []router.WatchEvent
	Names         discovery.Names // names of the zones and kinds, with which discovery messages are parsed

	keys objectKeys // keys of the objects in the file, for CheckReplaces
}

// Fleet is the configuration of communication with the other routers.
type Fleet struct {
	// GossipEnabled is true if the settings allow datagrams between routers and the file has the addresses. If it is
	// false, no other field but Rank is set.
	GossipEnabled bool
	Rank          int // this router's place in Members
	ListenAddr    string
	Members       []netip.AddrPort // all routers, this one included, by rank
	BroadcastAddr netip.AddrPort   // datagrams to it reach all members
}

// FieldError is an error in an environment variable or a field of the file.
type FieldError struct {
	Field string // variable, or path of the field, such as settings.Classes[0].Name
	Err   error
}

// Error returns the field, a colon and the text of the error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// ErrMissing is wrapped by a FieldError if a required variable or field is absent or empty, or if a new file lacks a
// key that CheckReplaces requires.
var ErrMissing = errors.New("missing")

// fieldError returns a FieldError. %w may be used in the format.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

func missingError(field string) error { return &FieldError{Field: field, Err: ErrMissing} }

// Environment variables. The first three are required.
const (
	envName     = "RELAY_NAME"
	envListen   = "RELAY_LISTEN"
	envConfig   = "RELAY_CONFIG"
	envAdmin    = "RELAY_MGMT"
	envListener = "RELAY_SOCKET_FD"
	envStateDir = "TMPDIR"
)

// firstInheritedFD is the lowest file descriptor of an inherited socket. Lower ones are the standard streams.
const firstInheritedFD = 3

// Load reads the environment variables and the configuration file that they name. An error names the variable or field
// at fault. If a limit, a setting or the file descriptor is out of bounds, the error also has its value and the allowed
// values.
func Load(getenv func(string) string) (*Config, error) {
	for _, name := range []string{envName, envListen, envConfig} {
		if getenv(name) == "" {
			return nil, missingError(name)
		}
	}
	text, err := os.ReadFile(getenv(envConfig))
	if err != nil {
		return nil, &FieldError{envConfig, err}
	}
	c, err := Parse(text)
	if err != nil {
		return nil, err
	}
	c.Name = getenv(envName)
	c.ListenAddr = getenv(envListen)
	if _, err := parseAddr(envListen, c.ListenAddr); err != nil {
		return nil, err
	}
	if err := c.loadAdminAddrAndStateDir(getenv); err != nil {
		return nil, err
	}
	if err := c.loadListenerFD(getenv); err != nil {
		return nil, err
	}
	return c, nil
}

// loadAdminAddrAndStateDir sets AdminAddr from the environment if the variable is set. Otherwise AdminAddr keeps the
// address of the file. StateDir is set only if there is an address. An error names the source of the address: the
// variable, or else the file's field mgmt.
func (c *Config) loadAdminAddrAndStateDir(getenv func(string) string) error {
	field := "mgmt"
	if addr := getenv(envAdmin); addr != "" {
		field = envAdmin
		c.AdminAddr = addr
	}
	if c.AdminAddr == "" {
		return nil
	}
	c.StateDir = getenv(envStateDir)
	_, err := parseAddr(field, c.AdminAddr)
	return err
}

func (c *Config) loadListenerFD(getenv func(string) string) error {
	text := getenv(envListener)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return fieldError(envListener, "%q, must be a file descriptor number, %d or above", text, firstInheritedFD)
	}
	c.ListenerFD = fd
	return nil
}

// parseAddr parses an address with a port.
func parseAddr(field, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, &FieldError{field, err}
	}
	return addr, nil
}
