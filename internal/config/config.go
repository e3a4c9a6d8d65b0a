// Package config reads and checks what a router is told at its start and on SIGHUP: environment variables and the
// platform's configuration file, whose fields' names it translates once.
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

// Config is a checked configuration. Times are milliseconds.
type Config struct {
	Name       string
	ListenAddr string // for clients
	AdminAddr  string // for management calls; empty: none
	ListenerFD int    // file descriptor of an inherited listening socket for clients; -1: none
	StateDir   string // shared by the processes that succeed each other as this router; empty: none
	Seed       int64  // of all random draws

	// Limits on the process's resources.
	MemoryMB   float64
	MaxSockets int

	// Settings of the decision module, and those of connections to servers.
	Settings    routing.Settings
	DialTimeout float64
	IdleTimeout float64 // after which servers close an unused connection
	MaxStreams  int     // concurrent requests on a connection
	MaxDeadline float64 // greatest deadline of a class
	// MaxSendDelay bounds the time from the choice of a server until the request is written. It is the shorter of the
	// grace periods after which a drain and a purge bind; 0: no bound.
	MaxSendDelay float64

	Fleet Fleet

	// Discovery: where it is, and what was known of the endpoint list when the file was written.
	DiscoveryAddr string
	LastEventID   uint64 // number of the last of InitialEvents
	InitialEvents []router.WatchEvent
	Names         discovery.Names

	keys objectKeys // of the file
}

// Fleet is what the file tells of the other routers.
type Fleet struct {
	// GossipEnabled is set if the settings allow datagrams between routers and the file has the addresses. Only then the
	// other fields but Rank are set.
	GossipEnabled bool
	Rank          int // this router's place in Members
	ListenAddr    string
	Members       []netip.AddrPort // all routers, this one included, by rank
	BroadcastAddr netip.AddrPort   // reaches all
}

// FieldError is an error in an environment variable or a field of the file.
type FieldError struct {
	Field string // variable, or path of the field, such as settings.Classes[0].Name
	Err   error
}

// Error is the field and the error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// ErrMissing is wrapped by the FieldError of a variable or field that must be there.
var ErrMissing = errors.New("missing")

// fieldError returns a FieldError. %w may be used in the format.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

func missing(field string) error { return &FieldError{Field: field, Err: ErrMissing} }

// Environment variables. Those after the first three are optional.
const (
	envName     = "RELAY_NAME"
	envListen   = "RELAY_LISTEN"
	envConfig   = "RELAY_CONFIG"
	envAdmin    = "RELAY_MGMT"
	envListener = "RELAY_SOCKET_FD"
	envStateDir = "TMPDIR"
)

// firstInheritedFD is the lowest descriptor that a socket can be inherited as: those below are the standard streams.
const firstInheritedFD = 3

// Load reads the environment and the file that it names. An error names the variable or the field at fault, its
// value, and what is allowed.
func Load(getenv func(string) string) (*Config, error) {
	for _, name := range []string{envName, envListen, envConfig} {
		if getenv(name) == "" {
			return nil, missing(name)
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
	if err := c.loadAdminAddr(getenv); err != nil {
		return nil, err
	}
	if err := c.loadListenerFD(getenv); err != nil {
		return nil, err
	}
	return c, nil
}

// loadAdminAddr sets the address for management calls: the environment's, or else the file's. Without one there is no
// state directory either.
func (c *Config) loadAdminAddr(getenv func(string) string) error {
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
		return fieldError(envListener, "%q, must be a descriptor of %d or above", text, firstInheritedFD)
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
