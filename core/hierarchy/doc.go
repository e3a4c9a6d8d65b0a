// Package hierarchy holds the shape of a tier: depots that fill from areas, areas from other areas, and the head office, from which all comes.
// It changes in service; loops are refused when a shape is read and found when two nodes were told different ones; and when shape or
// capacity changes, a planner shares the depots' fills among what is left.
//
// The guarantees: a shape with a circle is refused whole, with the circle named. A fill passed on by Forward visits no node twice, whatever
// shapes its nodes have. A plan asks no area, link or head office for more than it was said to bear; what is left over is named as refused.
//
// The package does no I/O and reads no clock: counts and times come in.
package hierarchy
