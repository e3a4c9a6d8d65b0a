package gossip

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// setSequence overwrites the sequence number of a datagram.
func setSequence(datagram []byte, sequence uint32) {
	binary.BigEndian.PutUint32(datagram[10:], sequence)
}

func BenchmarkReceive(b *testing.B) {
	n := newTestNode(b, 0, 0)
	datagrams := make([][]byte, 14)
	for i := range datagrams {
		datagrams[i] = overloadReport(1, 1, 1, 0, fmt.Sprintf("s-%08x", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		datagram := datagrams[i%len(datagrams)]
		setSequence(datagram, uint32(i+1))
		if err := n.Receive(int64(i), 1, datagram, ignore); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReceiveFromMany measures the receipt of one datagram for several fleet sizes. Senders take turns.
func BenchmarkReceiveFromMany(b *testing.B) {
	for _, routers := range []int{300, 1_000, 3_000, 11_000} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			n, err := New(Options{FleetSize: routers, Sites: 50, Incarnation: 1})
			if err != nil {
				b.Fatal(err)
			}
			datagrams := make([][]byte, routers)
			for rank := range datagrams {
				datagrams[rank] = overloadReport(rank, rank%50, 1, 0, fmt.Sprintf("s-%08x", rank%100))
			}
			for i := 0; b.Loop(); i++ {
				rank := 1 + i%(routers-1)
				setSequence(datagrams[rank], uint32(i+1))
				if err := n.Receive(int64(i)*100, rank, datagrams[rank], ignore); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(n.replayWindows)), "routers-known")
		})
	}
}
