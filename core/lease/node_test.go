package lease

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestInvalidOptions(t *testing.T) {
	valid := Options{
		Rank:     1,
		Topology: Topology{Routers: 8, GroupSizes: []int{2, 4}, Electors: []int{0, 3, 5}},
		Limit:    Limit{Max: 1},
	}
	for want, change := range map[string]func(*Options){
		"routers: 0":                         func(o *Options) { o.Topology.Routers = 0 },
		"rank: 8 of 8":                       func(o *Options) { o.Rank = 8 },
		"groups: 4 levels":                   func(o *Options) { o.Topology.GroupSizes = []int{2, 4, 8, 16} },
		"groups[1]: 3 is not":                func(o *Options) { o.Topology.GroupSizes = []int{2, 3} },
		"groups[0]: 1 is not":                func(o *Options) { o.Topology.GroupSizes = []int{1} },
		"electors: 2":                        func(o *Options) { o.Topology.Electors = []int{0, 1} },
		"electors: 0":                        func(o *Options) { o.Topology.Electors = nil },
		"electors[1]: rank 8":                func(o *Options) { o.Topology.Electors = []int{0, 8, 1} },
		"electors[2]: rank 0 is a duplicate": func(o *Options) { o.Topology.Electors = []int{0, 3, 0} },
		"max: NaN":                           func(o *Options) { o.Limit.Max = math.NaN() },
		"floorFraction: 2":                   func(o *Options) { o.Limit.FloorFraction = 2 },
		"expiryMargin: 1500000":              func(o *Options) { o.Limit.ExpiryMargin = leaseLifetime },
	} {
		t.Run(want, func(t *testing.T) {
			options := valid
			change(&options)
			_, err := New(0, options)
			if !errors.Is(err, ErrInvalidOptions) || !strings.HasPrefix(err.Error(), "invalid options: "+want) {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}

// Guards against invalid messages that change the state of a node. A message must be dropped and counted if a value is
// out of range, or if its sender may not send it to this router.
func TestInvalidMessagesAreDropped(t *testing.T) {
	w := newWorld(t, 8, testTopology, Limit{Max: 128})
	w.run(w.now+RecoveryTime, nil)
	n, now := w.processes[5].node, w.localTime(5)
	quotaBefore, droppedBefore := n.Quota(now), n.Counts.Dropped
	const ofSameSite, ofOtherSite, unknown, itself = 6, 40, 64, 5
	messages := []struct {
		from int
		Message
	}{
		{ofSameSite, Message{Kind: 0}},
		{ofSameSite, Message{Kind: kindEnd}},
		{ofSameSite, Message{Kind: KindRequest, Level: 0, Weight: 1}},
		{ofSameSite, Message{Kind: KindRequest, Level: 9, Weight: 1}},
		{ofSameSite, Message{Kind: KindRequest, Level: 1, Weight: 1, Amount: math.NaN()}},
		{ofSameSite, Message{Kind: KindRequest, Level: 1}},
		{ofSameSite, Message{Kind: KindRequest, Level: 1, Weight: 1 << 16}},
		{ofSameSite, Message{Kind: KindRequest, Level: 3, Weight: 1}},
		{ofSameSite, Message{Kind: KindGrant, Level: 0}},
		{ofSameSite, Message{Kind: KindGrant, Level: 9}},
		{ofSameSite, Message{Kind: KindGrant, Level: 1, Amount: 1e9}},
		{ofSameSite, Message{Kind: KindVote}},
		{ofSameSite, Message{Kind: KindVoteAck}},
		{ofOtherSite, Message{Kind: KindRequest, Level: 1, Weight: 1}},
		{unknown, Message{Kind: KindRequest, Level: 1, Weight: 1}},
		{itself, Message{Kind: KindRequest, Level: 1, Weight: 1}},
	}
	for _, m := range messages {
		n.Receive(now, m.from, m.Message)
	}
	if got, want := n.Counts.Dropped-droppedBefore, int64(len(messages)); got != want || n.Quota(now) != quotaBefore {
		t.Errorf("%d dropped, want %d; quota %v, want %v as before", got, want, n.Quota(now), quotaBefore)
	}
}

// Guards against more acquired units than the quota, and against a released unit that cannot be acquired again.
func TestQuotaBoundsAcquiredUnits(t *testing.T) {
	n, err := New(0, Options{
		Topology: Topology{Routers: 2, Electors: []int{0}},
		Limit:    Limit{Max: 4, FloorFraction: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	acquired := 0
	for n.TryAcquire(0) {
		acquired++
	}
	if acquired != 2 {
		t.Errorf("%d acquired, want the floor of 2", acquired)
	}
	n.Release()
	if !n.TryAcquire(0) || n.InUse() != 2 {
		t.Errorf("%d in use, want 2", n.InUse())
	}
}

func TestMessageKindString(t *testing.T) {
	for kind, want := range map[MessageKind]string{
		KindRequest: "request", KindVoteAck: "vote ack", 0: "MessageKind(0)", kindEnd: "MessageKind(5)",
	} {
		if got := kind.String(); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
