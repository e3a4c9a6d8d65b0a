package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"

	"spantack/internal/discovery"
)

// Smallest resource limits that a configuration may set.
const (
	minSockets  = 64
	minMemoryMB = 32
)

// document is the decoded configuration file.
type document struct {
	Seed   string `json:"seed"` // hexadecimal
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

// Parse parses and validates the configuration file. An error names the field at fault, or RELAY_CONFIG if the file is
// not valid JSON. If a limit or a setting is out of bounds, the error also has its value and the allowed values.
func Parse(text []byte) (*Config, error) {
	var d document
	if err := decodeJSON(envConfig, text, &d); err != nil {
		return nil, err
	}
	keys, err := collectKeys(text)
	if err != nil {
		return nil, err
	}
	c := &Config{keys: keys, AdminAddr: d.AdminAddr, ListenerFD: -1}
	for _, step := range []func(*document) error{
		c.parseSeed,
		c.parseDiscoveryAddr,
		c.parseLimits,
		requireSections,
		c.parseSettings,
		c.parseFleet, // needs the settings
		c.parseInitialEvents,
	} {
		if err := step(&d); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Config) parseSeed(d *document) error {
	seed, err := strconv.ParseUint(d.Seed, 16, 64)
	if err != nil {
		return &FieldError{"seed", err}
	}
	c.Seed = int64(seed)
	return nil
}

func (c *Config) parseDiscoveryAddr(d *document) error {
	c.DiscoveryAddr = d.DiscoveryAddr
	_, err := parseAddr("board", d.DiscoveryAddr)
	return err
}

func (c *Config) parseLimits(d *document) error {
	c.MemoryMB = d.Limits.MemoryMB
	c.MaxSockets = d.Limits.Sockets
	if c.MemoryMB < minMemoryMB {
		return fieldError("limits.memory_mb", "%v, must be %d or more", c.MemoryMB, minMemoryMB)
	}
	if c.MaxSockets < minSockets {
		return fieldError("limits.sockets", "%d, must be %d or more", c.MaxSockets, minSockets)
	}
	return nil
}

func requireSections(d *document) error {
	if d.Settings == nil {
		return missingError("settings")
	}
	if d.InitialEvents == nil {
		return missingError("known")
	}
	return nil
}

// parseFleet parses the addresses of the fleet. It disables gossip if the file has neither this router's address nor
// members, and parses nothing if gossip is disabled.
func (c *Config) parseFleet(d *document) (err error) {
	if d.FleetListenAddr == "" && len(d.FleetMembers) == 0 {
		c.Fleet.GossipEnabled = false
	}
	if !c.Fleet.GossipEnabled {
		return nil
	}
	if _, err := parseAddr("peer_listen", d.FleetListenAddr); err != nil {
		return err
	}
	c.Fleet.ListenAddr = d.FleetListenAddr
	c.Fleet.BroadcastAddr, err = parseAddr("peers_all", d.FleetBroadcastAddr)
	if err != nil {
		return err
	}
	for i, text := range d.FleetMembers {
		addr, err := parseAddr(fmt.Sprintf("peers[%d]", i), text)
		if err != nil {
			return err
		}
		c.Fleet.Members = append(c.Fleet.Members, addr)
	}
	if c.Fleet.Rank < 0 || c.Fleet.Rank >= len(c.Fleet.Members) {
		return fieldError("settings.Rank", "%d, must be 0 or more and below %d, the number of peers",
			c.Fleet.Rank, len(c.Fleet.Members))
	}
	return nil
}

func (c *Config) parseInitialEvents(d *document) (err error) {
	c.LastEventID, c.InitialEvents, err = discovery.ParseInitialEvents(d.InitialEvents, c.Names)
	if err != nil {
		return fmt.Errorf("known.%w", err)
	}
	return nil
}

// decodeJSON decodes JSON. field is the field that holds the JSON, or the variable that names the file. If a value in
// the JSON has the wrong type, the error names the path of the value after field, such as RELAY_CONFIG.limits.sockets.
func decodeJSON(field string, text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return fieldError(field+"."+typeError.Field, "a %s, must be %s", typeError.Value, kindInJSON(typeError.Type))
	}
	if err != nil {
		return &FieldError{field, err}
	}
	return nil
}

// kindInJSON describes the JSON values that can be decoded into a Go type, for error messages.
func kindInJSON(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	return "a number"
}
