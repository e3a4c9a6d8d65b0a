// Package link injects network faults between processes in tests and experiments. Its relays on loopback, Mesh for
// datagrams and Relay for TCP connections, count traffic and delay, lose, duplicate, block or reset it. The caller sets
// the conditions and the seed of the random numbers.
package link
