package discovery

import (
	"fmt"
	"net"
	"time"
)

// Mode is how a Board treats those who connect.
type Mode int

// The modes.
const (
	Serving Mode = iota // as the protocol describes it
	Slow                // accepts, and sends the first frame late
	Mute                // accepts, and sends nothing
	Down                // connections are refused
)

// String names the mode.
func (m Mode) String() string { return [...]string{"serving", "slow", "mute", "down"}[m] }

// firstFrameAfter is how late the first frame of a connection is while a board is slow. The next comes when one would have come anyway.
const firstFrameAfter = 1500 * time.Millisecond

// SetMode changes how the board treats connections: Mute those that there are too, Slow new ones alone; Down ends all.
func (b *Board) SetMode(mode Mode) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mode == Down && mode != Down {
		l, err := net.Listen("tcp", b.addr)
		if err != nil {
			return fmt.Errorf("mode %v: %w", mode, err)
		}
		b.l = l
		b.wg.Go(func() { b.accept(l) })
	}
	if b.mode != Down && mode == Down {
		b.l.Close()
		for c := range b.conns {
			c.Close()
		}
	}
	b.mode = mode
	return nil
}

// awaitFirstFrame waits until a connection in the board's present mode gets its first frame; false: the board has ended.
func (b *Board) awaitFirstFrame() bool {
	if b.present() != Slow {
		return true
	}
	timer := time.NewTimer(firstFrameAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.done:
		return false
	}
}

func (b *Board) present() Mode {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mode
}
