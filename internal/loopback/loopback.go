// Package loopback provides free addresses on the loopback interface to tests and experiments, for servers that are
// started later, usually in separate processes.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Ports are taken from firstPort up to endPort, below the ports that the system uses for outgoing connections.
const (
	firstPort = 20_000
	endPort   = 32_000 // exclusive
)

// addressCount is the number of calls of FreeAddress.
var addressCount atomic.Uint32

// FreeAddress returns an address on which no process listens. It differs from the addresses of all earlier calls in
// this process until the ports are used up. It also differs from the addresses in every other process, because the host
// part is derived from the process id. Listening on port 0 and closing that listener would guarantee neither, since the
// system soon reuses the port.
func FreeAddress() string {
	pid := os.Getpid()
	port := firstPort + (addressCount.Add(1)-1)%(endPort-firstPort)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, port)
}
