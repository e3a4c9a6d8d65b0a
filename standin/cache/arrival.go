package cache

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// smallReceiveBuffer and smallSegment keep what a connection takes unread, on both sides together, under 32 KB: a longer command blocks in the middle
// of its write until the server reads.
const (
	smallReceiveBuffer = 1 << 10
	smallSegment       = 536
)

// listen opens the listener of a server; narrow gives its connections the smallest buffers.
func listen(addr string, narrow bool) (net.Listener, error) {
	config := net.ListenConfig{}
	if narrow {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
				if failed == nil {
					failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment)
				}
			})
			if err == nil {
				err = failed
			}
			return err
		}
	}
	return config.Listen(context.Background(), "tcp", addr)
}

// gate holds readers up while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while it is open
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-done:
	}
}

// arrivalReader reads a connection and notes when the kernel received the bytes, so that a busy machine, on which this process reads late, makes no
// request look late. A read that spans several segments counts with the last.
type arrivalReader struct {
	rawConn       syscall.RawConn
	readGate      *gate
	done          <-chan struct{}
	lastArrival   time.Time // of the last read
	controlBuffer [128]byte
}

// newArrivalReader asks the kernel for the times of arrival. Where it has none, At is the time of the read.
func newArrivalReader(conn *net.TCPConn, g *gate, done <-chan struct{}) (*arrivalReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err == nil {
		err = failed
	}
	return &arrivalReader{rawConn: raw, readGate: g, done: done}, err
}

// Read implements io.Reader.
func (a *arrivalReader) Read(b []byte) (n int, err error) {
	a.readGate.wait(a.done)
	var control int
	var failed error
	err = a.rawConn.Read(func(fd uintptr) bool {
		n, control, _, _, failed = syscall.Recvmsg(int(fd), b, a.controlBuffer[:], 0)
		return failed != syscall.EAGAIN && failed != syscall.EINTR
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	a.lastArrival = kernelArrivalTime(a.controlBuffer[:control])
	return n, nil
}

// kernelArrivalTime finds the kernel's time in control messages.
func kernelArrivalTime(oob []byte) time.Time {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err == nil {
		for _, m := range messages {
			if m.Header.Type == syscall.SCM_TIMESTAMPNS && len(m.Data) >= 16 {
				return time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
			}
		}
	}
	return time.Now()
}

// hasUnread tells whether bytes wait that were not read yet.
func (a *arrivalReader) hasUnread() bool {
	var n int32
	err := a.rawConn.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	})
	return err == nil && n > 0
}
