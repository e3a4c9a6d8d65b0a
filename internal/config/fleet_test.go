package config

import (
	"strings"
	"testing"
)

// filesAllowingGossip returns two configuration files. Both permit datagrams between routers. allowed has no peer
// addresses, complete has them.
func filesAllowingGossip(t *testing.T) (allowed, complete string) {
	t.Helper()
	allowed = replaced(t, validFile, `"Permissions":{`, `"Rank":1,"Permissions":{"MayTell":true,`)
	complete = replaced(t, allowed, `"board":`, `"peer_listen":"127.0.0.4:7946",`+
		`"peers":["127.3.0.1:7946","127.3.0.2:7946"],"peers_all":"127.3.255.1:7946","board":`)
	return allowed, complete
}

// Guards against gossip although the settings forbid it or the file has no addresses, and against wrong addresses.
func TestGossipNeedsPermissionAndAddresses(t *testing.T) {
	allowed, complete := filesAllowingGossip(t)
	c, err := Parse([]byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	got := c.Fleet
	if !got.GossipEnabled || got.Rank != 1 || got.ListenAddr != "127.0.0.4:7946" || len(got.Members) != 2 ||
		got.Members[1].String() != "127.3.0.2:7946" || got.BroadcastAddr.String() != "127.3.255.1:7946" {
		t.Errorf("complete file: read as %+v", got)
	}
	for name, text := range map[string]string{
		"no permission":    validFile,
		"no addresses":     allowed,
		"permission false": replaced(t, complete, `"MayTell":true`, `"MayTell":false`),
	} {
		t.Run(name, func(t *testing.T) {
			if c, err := Parse([]byte(text)); err != nil || c.Fleet.GossipEnabled {
				t.Errorf("error %v, got %+v, want gossip disabled; file %s", err, c, text)
			}
		})
	}
}

func TestParseFleetErrorNamesField(t *testing.T) {
	_, complete := filesAllowingGossip(t)
	for _, c := range []struct{ name, old, new, want string }{
		{"listen address", "127.0.0.4:7946", "here", "peer_listen:"},
		{"member's address", "127.3.0.2:7946", "there", "peers[1]:"},
		{"broadcast address", "127.3.255.1:7946", "all", "peers_all:"},
		{"rank beyond the members", `"Rank":1`, `"Rank":2`, "settings.Rank: 2, must be 0 or more and below 2"},
		{"negative rank", `"Rank":1`, `"Rank":-1`, "settings.Rank: -1, must be 0 or more and below 2"},
		{"string for a bool", `"MayTell":true`, `"MayTell":"yes"`,
			"settings.Permissions.MayTell: a string, must be true or false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(replaced(t, complete, c.old, c.new)))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
