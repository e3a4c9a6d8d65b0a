// Package link injects faults into the network between processes in tests and experiments: relays on loopback, for
// datagrams (Mesh) and for connections (Relay), that delay, lose, duplicate, block and count what passes. The caller
// says which conditions are in force; random draws come from a seed of the caller's.
package link
