package main

import (
	"runtime/debug"

	"spantack/internal/config"
	"spantack/internal/resp"
)

// Fractions of the memory limit, and the memory that a client connection counts as.
const (
	// heapShare bounds Go's heap. The rest of the memory is for stacks, buffers and the kernel.
	heapShare = 0.7
	// requestQueueShare bounds the memory of open requests and of responses that clients have not read yet.
	requestQueueShare = 0.25
	// responseBodyShare bounds the memory of responses that are being received from servers. Each connection receives
	// at most one response at a time.
	responseBodyShare = 0.35
	// extraClientShare bounds the memory of client connections beyond those that clients can always have
	// (clientDescriptorDivisor). Each connection counts as bytesPerClient.
	extraClientShare = 0.15
	// bytesPerClient is the memory that a client connection counts as, in bytes.
	bytesPerClient = 32 << 10
)

// Parts of the descriptor limit.
const (
	// clientDescriptorDivisor sets the part of the descriptors that clients can always use: 1/clientDescriptorDivisor.
	// Usual numbers of clients need no more.
	clientDescriptorDivisor = 3
	// reservedDescriptors are for the listener, the discovery service, logs and connections being closed.
	reservedDescriptors = 48
	// minServerConns is the minimum number of connections to servers, whatever the limits. Without a connection to a
	// server a router would reject all requests. These connections may use reservedDescriptors.
	minServerConns = 8
)

// processLimits are the limits of one process.
type processLimits struct {
	memory      float64 // bytes
	clientConns int
	serverConns int
}

// newLimits returns the limits of this process according to the configuration, and sets the limit on Go's heap. A
// process that inherits its listener gets half of the configured limits, even while it runs alone. The limits of the
// configuration are for two processes together, since a second one runs during a replacement.
func newLimits(c *config.Config, inheritsListener bool) processLimits {
	memory := c.MemoryMB * (1 << 20)
	descriptors := c.MaxSockets
	if inheritsListener {
		memory /= 2
		descriptors /= 2
	}
	debug.SetMemoryLimit(int64(heapShare * memory))
	clients, servers := divideDescriptors(descriptors, memory)
	return processLimits{memory: memory, clientConns: clients, serverConns: servers}
}

// divideDescriptors returns how many connections from clients and to servers are allowed with a number of descriptors
// and a memory limit in bytes.
func divideDescriptors(descriptors int, memory float64) (clients, servers int) {
	clients = descriptors / clientDescriptorDivisor
	bodies := int(responseBodyShare * memory / resp.MaxBodySize)
	servers = max(min(descriptors-clients-reservedDescriptors, bodies), minServerConns)
	extra := int(extraClientShare * memory / bytesPerClient)
	clients = max(clients, min(descriptors-servers-reservedDescriptors, extra))
	return clients, servers
}
