package clock

import (
	"math"
	"time"
)

// microsPerMilli is the number of the decision module's units (microseconds) in one of the program's (milliseconds).
const microsPerMilli = 1000

// Micros converts milliseconds to the decision module's microseconds. It is the exact inverse of Millis: for all
// current times in microseconds, Micros(Millis(us)) == us.
func Micros(ms float64) int64 { return int64(math.Round(ms * microsPerMilli)) }

// Millis converts the decision module's microseconds to milliseconds.
func Millis(us int64) float64 { return float64(us) / microsPerMilli }

// Duration converts milliseconds to a duration of the standard library.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Deadline returns the time ms milliseconds from now, for the deadlines of package net.
func Deadline(ms float64) time.Time { return time.Now().Add(Duration(ms)) }
