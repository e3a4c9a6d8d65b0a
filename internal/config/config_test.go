package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"Classes":[{"Name":"page","Deadline":3000000,"Promise":300000,"Idempotency":"read_like"}],` +
	`"Extra":{"MasterKind":0,"ShieldKind":-1,"HeedWithin":300000},"Guarantees":{"StopSendingWithin":500000},"Kinds":["origin"],` +
	`"Permissions":{"MaxAttempts":3,"DialTimeout":400000,"IdleClose":30000000,"MaxStreams":32},"Zone":"east","Zones":["east"]}`

const good = `{"name":"n3","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},` +
	`"board":"127.2.0.1:4222","known":{"rev":3,"notices":[{"rev":3,"pool":{"all":true,"targets":[]}}]},"settings":` + settings + `}`

func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"RELAY_NAME": "n3", "RELAY_LISTEN": "127.0.0.1:5050", "RELAY_CONFIG": file}
	c, err := Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.ListenAddr != "127.0.0.1:5050" || c.DiscoveryAddr != "127.2.0.1:4222" || uint64(c.Seed) != 0x8c1f30d27a5be964 ||
		c.MemoryMB != 192 || c.MaxSockets != 1024 || c.DialTimeout != 400 || c.IdleTimeout != 30_000 || c.MaxStreams != 32 ||
		c.MaxSendDelay != 300 || c.MaxDeadline != 3000 || c.LastEventID != 3 || len(c.InitialEvents) != 1 || c.Settings.Zone != "east" {
		t.Errorf("%+v", c)
	}
	if c.AdminAddr != "" || c.ListenerFD != -1 || c.StateDir != "" {
		t.Errorf("what is not asked for is on: %+v", c)
	}
	env["TMPDIR"] = "/t"
	env["RELAY_MGMT"], env["RELAY_SOCKET_FD"] = "127.0.0.1:9100", "4"
	if c, err = Load(func(name string) string { return env[name] }); err != nil || c.AdminAddr != "127.0.0.1:9100" || c.ListenerFD != 4 || c.StateDir != "/t" {
		t.Errorf("%+v, %v", c, err)
	}
	for name, value := range map[string]string{"RELAY_MGMT": "here", "RELAY_SOCKET_FD": "two"} {
		old := env[name]
		env[name] = value
		if _, err := Load(func(name string) string { return env[name] }); err == nil || !strings.HasPrefix(err.Error(), name) && !strings.HasPrefix(err.Error(), "mgmt") {
			t.Errorf("%s=%q: %v", name, value, err)
		}
		env[name] = old
	}
	for name, value := range map[string]string{"RELAY_NAME": "", "RELAY_LISTEN": "everywhere", "RELAY_CONFIG": file + "x"} {
		old := env[name]
		env[name] = value
		if _, err := Load(func(name string) string { return env[name] }); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s=%q: %v", name, value, err)
		}
		env[name] = old
	}
}

// What can't be used is named in one line.
func TestFieldAtFault(t *testing.T) {
	for field, swap := range map[string][2]string{
		"seed:":                               {"8c1f30d27a5be964", "dice"},
		"board:":                              {"127.2.0.1:4222", "nowhere"},
		"limits.memory_mb:":                   {`"memory_mb":192`, `"memory_mb":1`},
		"limits.sockets:":                     {`"sockets":1024`, `"sockets":8`},
		"RELAY_CONFIG.limits.sockets:":        {`"sockets":1024`, `"sockets":"many"`},
		"RELAY_CONFIG:":                       {`{"name"`, `{name`},
		"settings: missing":                   {`"settings":`, `"options":`},
		"known: missing":                      {`"known":`, `"told":`},
		"known.notices[0]:":                   {`"pool":`, `"pond":`},
		"settings.Permissions.DialTimeout:":   {`"DialTimeout":400000`, `"DialTimeout":0`},
		"settings.Permissions.MaxStreams:":    {`"MaxStreams":32`, `"MaxStreams":-1`},
		"settings.Permissions.IdleClose: a":   {`"IdleClose":30000000`, `"IdleClose":"long"`},
		"settings.Zones:":                     {`"Zones":["east"]`, `"Zones":[]`},
		"settings.Permissions.IdleClose: mus": {`"IdleClose":30000000`, `"IdleClose":-1`},
	} {
		if !strings.Contains(good, swap[0]) {
			t.Fatalf("%s: no %s in the configuration", field, swap[0])
		}
		_, err := Parse([]byte(strings.Replace(good, swap[0], swap[1], 1)))
		if err == nil || !strings.HasPrefix(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// The addresses for datagrams are read only where the settings allow those, and then each must be one.
func TestTier(t *testing.T) {
	may := strings.Replace(good, `"Permissions":{`, `"Rank":1,"Permissions":{"MayTell":true,`, 1)
	talks := strings.Replace(may, `"board":`, `"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946","127.3.0.2:7946"],"peers_all":"127.3.255.1:7946","board":`, 1)
	c, err := Parse([]byte(talks))
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Fleet; !got.GossipEnabled || got.Rank != 1 || got.ListenAddr != "127.0.0.4:7946" || len(got.Members) != 2 || got.Members[1].String() != "127.3.0.2:7946" ||
		got.BroadcastAddr.String() != "127.3.255.1:7946" {
		t.Errorf("%+v", got)
	}
	for _, text := range []string{good, may, strings.Replace(talks, `"MayTell":true`, `"MayTell":false`, 1)} {
		if c, err := Parse([]byte(text)); err != nil || c.Fleet.GossipEnabled {
			t.Errorf("%v, %+v of %s", err, c, text)
		}
	}
	for field, swap := range map[string][2]string{
		"peer_listen:":                      {"127.0.0.4:7946", "here"},
		"peers[1]:":                         {"127.3.0.2:7946", "there"},
		"peers_all:":                        {"127.3.255.1:7946", "all"},
		"settings.Rank: 2 of 2 peers":       {`"Rank":1`, `"Rank":2`},
		"settings.Rank: -1 of 2 peers":      {`"Rank":1`, `"Rank":-1`},
		"settings.Permissions.MayTell: a s": {`"MayTell":true`, `"MayTell":"yes"`},
	} {
		_, err := Parse([]byte(strings.Replace(talks, swap[0], swap[1], 1)))
		if err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// A file that lacks a key which the one in force has, wherever it stands, is turned down; one that has more is not, nor is one whose
// events are of other kinds.
func TestFollows(t *testing.T) {
	old, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"name":"n3",`, ``, "name: missing"},
		{`"cores":1.0,`, ``, "limits.cores: missing"},
		{`"Promise":300000,`, ``, "settings.Classes[].Promise: missing"},
		{`"HeedWithin":300000`, `"X":1`, "settings.Extra.HeedWithin: missing"},
		{`"Guarantees":{"StopSendingWithin":500000}`, `"Guarantees":null`, "settings.Guarantees: no object any more"},
		{`"Zone":"east",`, `"Zone":"east","Beyond":{"a":1},`, ""},
		{`{"rev":3,"pool":{"all":true,"targets":[]}}`, `{"rev":3,"flush":{"collection":17,"ms":1764576000480}}`, ""},
		{`"Promise":300000,"Idempotency":"read_like"}`, `"Promise":300000,"Idempotency":"read_like"},{"Name":"b","Promise":1,"Deadline":1,"Idempotency":"read_like","AimStretch":2}`, ""},
		{`"Promise":300000,"Idempotency":"read_like"}`, `"Promise":300000,"Idempotency":"read_like"},{"Name":"b","Deadline":1,"Idempotency":"read_like"}`, "settings.Classes[].Promise: missing"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("no %s in the configuration", c.from)
		}
		next, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		if err != nil {
			t.Fatalf("%s: %v", c.to, err)
		}
		if err := next.CheckReplaces(old); c.want == "" && err != nil || c.want != "" && (err == nil || err.Error() != c.want) {
			t.Errorf("%s for %s: %v, want %q", c.to, c.from, err, c.want)
		}
	}
	if _, err := Parse([]byte(strings.Replace(good, `}],"Extra"`, `},{"Name":"page","Deadline":1,"Idempotency":"read_like"}],"Extra"`, 1))); err == nil ||
		!strings.HasPrefix(err.Error(), "settings.Classes[1].Name") {
		t.Errorf("a class twice: %v", err)
	}
}
