package main

import (
	"encoding/binary"
	"os"
	"strings"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// addedClass is a class without AimStretch, which the platform's pages allow to be absent.
const addedClass = `,{"Name":"stock","Deadline":2000000,"Promise":2000000,"Gain":1,"Idempotency":"read_like",` +
	`"Group":"all"}],`

// Guards against a reload that is rejected because the added class lacks an optional key that the other classes have:
// the router then kept the old address of the discovery service and never learned of a purge. Also guards against events
// that stay unknown after a file was rejected for a good reason: the next accepted file must bring all of them.
func TestReloadWithAddedClassMovesDiscovery(t *testing.T) {
	t.Parallel()
	p, _ := launch(t, false)
	p.connectReady()
	moved := testwait.Listen(t)
	withStretch := strings.ReplaceAll(p.text, `"Gain":1,`, `"Gain":1,"AimStretch":1.6,`)
	p.reload(withStretch, `"message":"new configuration"`)

	_, rest, _ := strings.Cut(withStretch, `"board":"`)
	old, _, _ := strings.Cut(rest, `"`)
	withClass := strings.Replace(withStretch, `],
	"Extra"`, addedClass+`
	"Extra"`, 1)
	withClass = strings.Replace(withClass, old, moved.Addr().String(), 1)
	incomplete := strings.Replace(withClass, `"Promise":2000000,"Gain":1,"Idempotency":"read_like","Group"`,
		`"Gain":1,"Idempotency":"read_like","Group"`, 1)
	p.reload(incomplete, `"error":"settings.Classes[].Promise: missing","board":"`+old+`"`)
	p.reload(withClass, `"board":"`+moved.Addr().String()+`","classes":3`)

	watch := testwait.AcceptHello(t, moved, "\x00\x00\x00\x00\x00\x00\x00\x01", "the watch at the new address")
	watch.Write(purgeFrame(2))
	watch.Close()
	testwait.AcceptHello(t, moved, "\x00\x00\x00\x00\x00\x00\x00\x02", "the watch after the purge")

	nc := p.connectReady()
	nc.Write([]byte("\x94\x00\x02\xa5stock\x92\x83\xa3ref\xb00000000000000002\xa5allow\xa42000" +
		"\xa6lookup\xb0000000000000007f\xc4\x00"))
	p.await("GET 0000000000000002")
}

// reload replaces the configuration, sends SIGHUP and waits for a line of the log that contains logged.
func (p *routerProcess) reload(text, logged string) {
	p.t.Helper()
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	testwait.Until(p.t, "the log line "+logged, func() bool { return strings.Contains(p.log.String(), logged) })
}

// purgeFrame encodes event number of the discovery service: a purge of group 17.
func purgeFrame(number uint64) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, number), 4)
	body = binary.BigEndian.AppendUint16(body, 17)
	body = binary.BigEndian.AppendUint64(body, 1_764_576_000_480)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Guards against a configuration that adds a zone and ends the watch of the discovery service (review case 8): a server
// of the new zone is listed, and a purge follows. Both must be applied, so that the watch goes on after them.
func TestReloadWithAddedZoneFollowsDiscovery(t *testing.T) {
	t.Parallel()
	p, _ := launch(t, false)
	p.connectReady()
	moved := testwait.Listen(t)
	_, rest, _ := strings.Cut(p.text, `"board":"`)
	old, _, _ := strings.Cut(rest, `"`)
	withZone := strings.Replace(p.text, `"Zones":["east"]`, `"Zones":["east","west"]`, 1)
	withZone = strings.Replace(withZone, old, moved.Addr().String(), 1)
	p.reload(withZone, `"board":"`+moved.Addr().String()+`"`)
	watch := testwait.AcceptHello(t, moved, "\x00\x00\x00\x00\x00\x00\x00\x01", "the watch at the new address")
	watch.Write(append(serverFrame(2, 1), purgeFrame(3)...))
	watch.Close()
	testwait.AcceptHello(t, moved, "\x00\x00\x00\x00\x00\x00\x00\x03", "the watch after the server and the purge")
}

// serverFrame encodes event number of the discovery service: a server in the zone of the given place.
func serverFrame(number uint64, zone byte) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, number), 2)
	body = append(body, 0, 0, 0, 9, 127, 0, 0, 1, 0, 1, 0, zone, 0, 0, 0)
	body = append(body, make([]byte, 12)...) // weight and start
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
