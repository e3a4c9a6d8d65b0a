package main

import (
	"runtime/debug"

	"spantack/internal/admin"
	"spantack/internal/config"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
)

// Fractions of the memory limit.
const (
	// heapShare bounds the memory of Go's runtime: the heap, garbage included, and stacks. The rest is for the system's
	// threads, for the program's data, and for garbage that the collector does not free in time.
	heapShare = 0.7
	// serverConnShare bounds the number of connections to servers: each counts as the largest response body.
	serverConnShare = 0.35
	// extraClientShare bounds the memory of client connections beyond those that clients can always have
	// (clientDescriptorDivisor). Each connection counts as bytesPerExtraClient.
	extraClientShare = 0.15
	// maxClientShare bounds the memory of all client connections, in a process with many descriptors and little memory.
	maxClientShare = 0.3
	// requestQueueShare is the fraction of the variable memory for open requests. Responses that clients have not read
	// yet count too. The rest is for response bodies, from their arrival until they are written to clients.
	requestQueueShare = 0.5
	// minVariableShare is the smallest fraction of the memory limit that is variable memory.
	minVariableShare = 0.1
)

// Memory of parts of the process, in bytes.
const (
	// bytesPerExtraClient is the memory that a client connection counts as in extraClientShare.
	bytesPerExtraClient = 32 << 10
	// programBytes is the memory of the program without connections and requests: the decision module with its servers
	// and objects, and the runtime.
	programBytes = 3 << 20
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
	queuedBytes int64 // of open requests, and of responses that clients have not read yet
	bodyBytes   int64 // of response bodies, from their arrival until they are written to clients
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
	return divideLimits(descriptors, memory)
}

// divideLimits divides a number of descriptors and a memory limit in bytes between the parts of the process.
func divideLimits(descriptors int, memory float64) processLimits {
	limits := processLimits{memory: memory}
	limits.clientConns, limits.serverConns = divideDescriptors(descriptors, memory)
	variable := max(heapShare*memory-limits.fixedBytes(), minVariableShare*memory)
	limits.queuedBytes = int64(requestQueueShare * variable)
	limits.bodyBytes = max(int64(variable)-limits.queuedBytes, resp.MaxBodySize)
	return limits
}

// fixedBytes returns the memory of the parts that grow with the connections, but not with what is sent on them.
func (l *processLimits) fixedBytes() float64 {
	return float64(programBytes + l.clientConns*msgpackrpc.BytesPerConn + l.serverConns*resp.BytesPerConn +
		admin.MaxConns*admin.BytesPerConn)
}

// divideDescriptors returns how many connections from clients and to servers are allowed with a number of descriptors
// and a memory limit in bytes.
func divideDescriptors(descriptors int, memory float64) (clients, servers int) {
	mostClients := int(maxClientShare * memory / msgpackrpc.BytesPerConn)
	clients = min(descriptors/clientDescriptorDivisor, mostClients)
	bodies := int(serverConnShare * memory / resp.MaxBodySize)
	servers = max(min(descriptors-clients-reservedDescriptors, bodies), minServerConns)
	extra := int(extraClientShare * memory / bytesPerExtraClient)
	clients = max(clients, min(descriptors-servers-reservedDescriptors, extra))
	return clients, servers
}
