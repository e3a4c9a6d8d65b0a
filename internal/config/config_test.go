package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{"Classes":[{"Name":"page","Deadline":3000000,"Promise":300000,"Idempotency":"read_like"}],` +
	`"Extra":{"MasterKind":0,"ShieldKind":-1,"HeedWithin":300000},"Guarantees":{"StopSendingWithin":500000},` +
	`"Kinds":["origin"],` +
	`"Permissions":{"MaxAttempts":3,"DialTimeout":400000,"IdleClose":30000000,"MaxStreams":32},` +
	`"Zone":"east","Zones":["east"]}`

const validFile = `{"name":"n3","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},` +
	`"board":"127.2.0.1:4222","known":{"rev":3,"notices":[{"rev":3,"pool":{"all":true,"targets":[]}}]},` +
	`"settings":` + validSettings + `}`

// replaced returns file with the first occurrence of old replaced by new. It fails the test if there is none.
func replaced(t *testing.T, file, old, new string) string {
	t.Helper()
	if !strings.Contains(file, old) {
		t.Fatalf("no %s in the configuration", old)
	}
	return strings.Replace(file, old, new, 1)
}

// environment returns the required variables. The configuration file that they name exists and is valid.
func environment(t *testing.T) map[string]string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"RELAY_NAME": "n3", "RELAY_LISTEN": "127.0.0.1:5050", "RELAY_CONFIG": file}
}

func load(env map[string]string) (*Config, error) {
	return Load(func(name string) string { return env[name] })
}

func TestLoad(t *testing.T) {
	c, err := load(environment(t))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.ListenAddr != "127.0.0.1:5050" || c.DiscoveryAddr != "127.2.0.1:4222" ||
		uint64(c.Seed) != 0x8c1f30d27a5be964 || c.MemoryMB != 192 || c.MaxSockets != 1024 {
		t.Errorf("name, addresses, seed or limits: read as %+v", c)
	}
	if c.DialTimeout != 400 || c.IdleTimeout != 30_000 || c.MaxStreams != 32 || c.MaxSendDelay != 300 ||
		c.MaxDeadline != 3000 || c.LastEventID != 3 || len(c.InitialEvents) != 1 || c.Settings.Zone != "east" {
		t.Errorf("settings or initial events: read as %+v", c)
	}
	if c.AdminAddr != "" || c.ListenerFD != -1 || c.StateDir != "" {
		t.Errorf("AdminAddr, ListenerFD or StateDir set without an environment variable: %+v", c)
	}
}

// Guards against optional environment variables that are ignored.
func TestLoadOptionalVariables(t *testing.T) {
	env := environment(t)
	env["TMPDIR"] = "/t"
	env["RELAY_MGMT"] = "127.0.0.1:9100"
	env["RELAY_SOCKET_FD"] = "4"
	c, err := load(env)
	if err != nil || c.AdminAddr != "127.0.0.1:9100" || c.ListenerFD != 4 || c.StateDir != "/t" {
		t.Errorf("optional variables: read as %+v, error %v", c, err)
	}
}

// Guards against an error that does not name the environment variable at fault.
func TestLoadErrorNamesVariable(t *testing.T) {
	for _, c := range []struct{ name, value string }{
		{"RELAY_MGMT", "here"},
		{"RELAY_SOCKET_FD", "two"},
		{"RELAY_SOCKET_FD", "2"},
		{"RELAY_NAME", ""},
		{"RELAY_LISTEN", "everywhere"},
		{"RELAY_CONFIG", "/nowhere/config.json"},
	} {
		t.Run(c.name+"="+c.value, func(t *testing.T) {
			env := environment(t)
			env["TMPDIR"] = "/t"
			env["RELAY_MGMT"] = "127.0.0.1:9100"
			env["RELAY_SOCKET_FD"] = "4"
			env[c.name] = c.value
			_, err := load(env)
			var field *FieldError
			if !errors.As(err, &field) || field.Field != c.name || !strings.HasPrefix(err.Error(), c.name+": ") {
				t.Errorf("got %v, want a FieldError of the variable", err)
			}
		})
	}
}

// Guards against errors that do not name the field at fault, or that have several lines.
func TestParseErrorNamesField(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"seed", "8c1f30d27a5be964", "dice", "seed:"},
		{"discovery address", "127.2.0.1:4222", "nowhere", "board:"},
		{"memory below the minimum", `"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb:"},
		{"sockets below the minimum", `"sockets":1024`, `"sockets":8`, "limits.sockets:"},
		{"string for a number", `"sockets":1024`, `"sockets":"many"`, "RELAY_CONFIG.limits.sockets:"},
		{"invalid JSON", `{"name"`, `{name`, "RELAY_CONFIG:"},
		{"no settings", `"settings":`, `"options":`, "settings: missing"},
		{"no initial events", `"known":`, `"told":`, "known: missing"},
		{"unknown event", `"pool":`, `"pond":`, "known.notices[0]:"},
		{"dial timeout of 0", `"DialTimeout":400000`, `"DialTimeout":0`, "settings.Permissions.DialTimeout:"},
		{"negative streams", `"MaxStreams":32`, `"MaxStreams":-1`, "settings.Permissions.MaxStreams:"},
		{"string for a time", `"IdleClose":30000000`, `"IdleClose":"long"`,
			"settings.Permissions.IdleClose: a string, must be a number"},
		{"no zones", `"Zones":["east"]`, `"Zones":[]`, "settings.Zones:"},
		{"negative idle timeout", `"IdleClose":30000000`, `"IdleClose":-1`,
			"settings.Permissions.IdleClose: -1 µs, must be 0 (default) or above"},
		{"duplicate class name", `}],"Extra"`, `},{"Name":"page","Deadline":1,"Idempotency":"read_like"}],"Extra"`,
			"settings.Classes[1].Name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(replaced(t, validFile, c.old, c.new)))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if strings.HasSuffix(c.want, "missing") && !errors.Is(err, ErrMissing) {
				t.Errorf("%v is not ErrMissing", err)
			}
		})
	}
}
