package msgpackrpc

import (
	"fmt"
	"io"
	"testing"
	"time"

	"spantack/internal/clock"
	"spantack/internal/router"
)

// pastMessageTimeout is longer than messageTimeout, and shorter than a client's patience.
var pastMessageTimeout = clock.Duration(1.2 * messageTimeout)

// Guards against responses that are lost because another message on the connection rests (review case 7): the request
// that is open must get its response, and the message that is completed later too.
func TestRestingMessageKeepsOpenRequests(t *testing.T) {
	t.Parallel()
	client := startServer(t)
	client.sendRequest(1, "page", "0000000000000001")
	open := client.nextCall()
	message := encodedRequest(2, "0000000000000002")
	client.Write(message[:len(message)/2])
	time.Sleep(pastMessageTimeout)
	client.Write(message[len(message)/2:])
	client.nextCall().respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 2 [Error map[]] <nil>]")
	open.respond(t, router.Response{Outcome: router.Failed})
	client.expect("[1 1 [Error map[]] <nil>]")
}

// A message that rests must still end its connection after messageTimeout if nothing is open on it.
func TestRestingMessageAloneEndsItsConnection(t *testing.T) {
	t.Parallel()
	client := startServer(t)
	client.sendHealthRequest()
	client.expect("[1 1 <nil> [true map[]]]")
	message := encodedRequest(2, "0000000000000002")
	client.Write(message[:len(message)/2])
	client.SetReadDeadline(time.Now().Add(2 * pastMessageTimeout))
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// encodedRequest returns a request of class page.
func encodedRequest(id uint64, ref string) []byte {
	return encode(nil, []any{uint64(0), id, "page", []any{map[string]any{"ref": ref, "allow": "1500"}, []byte(fmt.Sprint(id))}})
}
