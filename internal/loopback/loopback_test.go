package loopback

import (
	"net"
	"testing"
	"time"
)

// Addresses must differ from one another. No process may listen on them, and listening and dialing must work.
func TestFreeAddressIsUniqueAndUnused(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		addr := FreeAddress()
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
		if nc, err := net.DialTimeout("tcp", addr, 10*time.Second); err == nil {
			nc.Close()
			t.Errorf("a process listens at %s", addr)
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
