package discovery

import (
	"fmt"
	"net"
	"time"
)

// Mode is how a Service treats those who connect.
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

// SlowFirstFrameDelay is how late the first frame of a connection is while a service is slow. The next comes when one would have come anyway.
const SlowFirstFrameDelay = 1500 * time.Millisecond

// SetMode changes how the service treats connections: Mute those that there are too, Slow new ones alone; Down ends all.
func (s *Service) SetMode(mode Mode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == Down && mode != Down {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("mode %v: %w", mode, err)
		}
		s.listener = l
		s.goroutines.Go(func() { s.accept(l) })
	}
	if s.mode != Down && mode == Down {
		s.listener.Close()
		for c := range s.conns {
			c.Close()
		}
	}
	s.mode = mode
	return nil
}

// delayFirstFrame waits until a connection in the present mode gets its first frame; false: the service has ended.
func (s *Service) delayFirstFrame() bool {
	if s.currentMode() != Slow {
		return true
	}
	timer := time.NewTimer(SlowFirstFrameDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

func (s *Service) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}
