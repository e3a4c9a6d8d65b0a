// Package emulator simulates a deployment in virtual time: clients, links, edge caches, parent caches, the origin, the
// endpoint list, and routers that run the real decision modules. A World runs on one goroutine. Runs are deterministic:
// the same Config gives the same Result to the bit, on every machine and in every run.
//
// The emulator counts violations of the rules that routers must keep (see violations.go). It detects them in the events
// that it simulates, never from what a router reports.
//
// Three trials test one mechanism each, without a World: OriginLimitTrial, FleetLimitTrial and TopologyTrial.
//
// Times are microseconds of virtual time (int64) unless a name has another unit; sizes are KB of 1000 bytes.
package emulator
