package cache

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// controlBufferSize is the size in bytes of the buffer for control messages. It is larger than a message with an
// arrival time.
const controlBufferSize = 128

// arrivalReader reads a connection and records when the kernel received the bytes. The arrival time of a request then
// does not depend on when this process reads it. On a busy machine this can be late. If a read returns the bytes of
// several segments, lastArrival is the arrival time of the last segment. Only one goroutine may call Read; hasUnread
// may be called from others.
type arrivalReader struct {
	rawConn       syscall.RawConn
	readGate      *gate
	done          <-chan struct{} // when closed, Read no longer waits at the gate
	lastArrival   time.Time       // of the bytes of the last read
	controlBuffer [controlBufferSize]byte
}

// newArrivalReader returns a reader of conn, for which it enables the kernel's receive timestamps.
func newArrivalReader(conn *net.TCPConn, readGate *gate, done <-chan struct{}) (*arrivalReader, error) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = setSocketOptions(rawConn, socketOption{syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1})
	return &arrivalReader{rawConn: rawConn, readGate: readGate, done: done}, err
}

// Read implements io.Reader. It waits until the gate is open or done is closed, and then reads.
func (r *arrivalReader) Read(b []byte) (n int, err error) {
	r.readGate.wait(r.done)
	var controlSize int
	var receiveError error
	err = r.rawConn.Read(func(fd uintptr) bool {
		n, controlSize, _, _, receiveError = syscall.Recvmsg(int(fd), b, r.controlBuffer[:], 0)
		return receiveError != syscall.EAGAIN && receiveError != syscall.EINTR
	})
	switch {
	case err != nil:
		return 0, err
	case receiveError != nil:
		return 0, receiveError
	case n == 0:
		return 0, io.EOF
	}
	r.lastArrival = kernelArrivalTime(r.controlBuffer[:controlSize])
	return n, nil
}

// timespecSize is the size in bytes of a kernel timestamp: two native 64-bit words, seconds and nanoseconds.
const timespecSize = 16

// kernelArrivalTime returns the receive timestamp in control messages, or the current time if they contain none.
func kernelArrivalTime(control []byte) time.Time {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now()
	}
	for _, message := range messages {
		if message.Header.Type == syscall.SCM_TIMESTAMPNS && len(message.Data) >= timespecSize {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[timespecSize/2:])
			return time.Unix(int64(seconds), int64(nanoseconds))
		}
	}
	return time.Now()
}

// hasUnread returns whether the kernel has received bytes that were not read yet.
func (r *arrivalReader) hasUnread() bool {
	var size int32
	err := r.rawConn.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&size)))
	})
	return err == nil && size > 0
}
