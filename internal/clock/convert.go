package clock

import (
	"math"
	"time"
)

// microsPerMilli converts between the program's unit and the decision module's.
const microsPerMilli = 1000

// Micros converts milliseconds to the decision module's microseconds. It takes back what Millis gave, exactly.
func Micros(ms float64) int64 { return int64(math.Round(ms * microsPerMilli)) }

// Millis converts the decision module's microseconds to milliseconds.
func Millis(us int64) float64 { return float64(us) / microsPerMilli }

// Duration converts milliseconds for the standard library.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Deadline returns the moment ms milliseconds from now as the net package takes it.
func Deadline(ms float64) time.Time { return time.Now().Add(Duration(ms)) }
