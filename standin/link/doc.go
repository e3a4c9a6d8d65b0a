// Package link injects network faults between processes in tests and experiments. Mesh relays datagrams and Relay
// relays TCP connections, both on loopback. They count traffic. Mesh can delay, lose, duplicate and block datagrams.
// Relay can delay or discard traffic, limit its bandwidth and reset connections. The caller sets the conditions and,
// for Mesh, the seed of the random numbers.
package link
