package reviewtwo

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var startedAt = time.Now()

// ms returns the time since the start of the case in milliseconds.
func ms() float64 { return float64(time.Since(startedAt).Microseconds()) / 1000 }

func unixMs() int64 { return time.Now().UnixMilli() }

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  "+format+"\n", append([]any{ms()}, args...)...)
}
