package loopback

import (
	"net"
	"testing"
	"time"
)

// Addresses differ from one another, nobody listens there, and one can listen and dial there.
func TestFree(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addr := FreeAddress()
		if seen[addr] {
			t.Fatalf("%s was handed out twice", addr)
		}
		seen[addr] = true
		if nc, err := net.DialTimeout("tcp", addr, 10*time.Second); err == nil {
			nc.Close()
			t.Errorf("somebody listens at %s", addr)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.DialTimeout("tcp", addr, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
		l.Close()
	}
}
