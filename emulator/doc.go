// Package emulator models a deployment in virtual time: clients, links, edge caches, parent caches, the origin, the
// endpoint list, and routers that run the real decision modules. A World runs on one goroutine; the same Config gives
// the same Result to the bit, wherever and however often it runs.
//
// The emulator counts violations by itself, from what happened in its world, never from what a router reports.
//
// Beside worlds there are three trials that each test one mechanism alone: OriginLimitTrial, FleetLimitTrial and
// TopologyTrial.
//
// Times are microseconds of virtual time (int64) unless a name says otherwise; sizes are KB of 1000 bytes.
package emulator
