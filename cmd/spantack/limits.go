package main

import (
	"runtime/debug"

	"spantack/internal/config"
	"spantack/internal/resp"
)

// Shares of the memory limit.
const (
	// heapShare is what Go's heap keeps under; the rest is for stacks, buffers and the kernel.
	heapShare = 0.7
	// requestQueueShare is what open requests and responses waiting for clients may hold.
	requestQueueShare = 0.25
	// responseBodyShare is what responses on their way in may hold: one on each connection at most.
	responseBodyShare = 0.35
	// extraClientShare is what further client connections may take, at bytesPerClient each.
	extraClientShare = 0.15
	bytesPerClient   = 32 << 10
)

// Parts of the limit on descriptors.
const (
	// clientDescriptorDivisor: usual clients hold a third of the descriptors at most, and always find so many places.
	clientDescriptorDivisor = 3
	// reservedDescriptors are for the listener, the discovery service, logs and connections on their way out.
	reservedDescriptors = 48
	// minServerConns there may be to servers, whatever the limits: with none a router would reject all. They come out
	// of the reserved ones.
	minServerConns = 8
)

// processLimits are what the process may hold.
type processLimits struct {
	memory      float64 // bytes
	clientConns int
	serverConns int
}

// newLimits divides the limits of the configuration, of which a process that shares its listener with another gets
// half: one replaces the other while that serves, and the limits count for both. It puts the limit on Go's heap in
// force.
func newLimits(c *config.Config, isShared bool) processLimits {
	memory := c.MemoryMB * (1 << 20)
	descriptors := c.MaxSockets
	if isShared {
		memory /= 2
		descriptors /= 2
	}
	debug.SetMemoryLimit(int64(heapShare * memory))
	clients, servers := divideDescriptors(descriptors, memory)
	return processLimits{memory: memory, clientConns: clients, serverConns: servers}
}

// divideDescriptors divides descriptors and bytes of memory: how many connections clients may hold, and how many
// there may be to servers.
func divideDescriptors(descriptors int, memory float64) (clients, servers int) {
	clients = descriptors / clientDescriptorDivisor
	bodies := int(responseBodyShare * memory / resp.MaxBodySize)
	servers = max(min(descriptors-clients-reservedDescriptors, bodies), minServerConns)
	extra := int(extraClientShare * memory / bytesPerClient)
	clients = max(clients, min(descriptors-servers-reservedDescriptors, extra))
	return clients, servers
}
