// Package loopback hands out free addresses on the loopback interface to tests and experiments, for servers that
// are started later and, most often, in processes of their own.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Ports are handed out from firstPort up to those that the system gives to outgoing connections.
const (
	firstPort = 20_000
	endPort   = 32_000 // not handed out itself
)

// addressesGiven counts the calls of FreeAddress.
var addressesGiven atomic.Uint32

// FreeAddress returns an address on which nobody listens. It differs from all that this process was given before,
// until the ports are used up, and from those of every other process: the host part follows from the process id. A
// port that the system picks for a listener which is then closed has neither property, since the system soon gives
// it to somebody else.
func FreeAddress() string {
	pid := os.Getpid()
	port := firstPort + (addressesGiven.Add(1)-1)%(endPort-firstPort)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, port)
}
