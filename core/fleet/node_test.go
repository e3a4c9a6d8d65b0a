package fleet

import (
	"errors"
	"math"
	"testing"

	"spantack/core/gossip"
)

func TestInvalidOptions(t *testing.T) {
	valid := Options{Rank: 1, FleetSize: 3, Sites: 2, Limits: []Limit{{Name: "a", Max: 1}}}
	for want, change := range map[string]func(*Options){
		"fleet size: 0 is not 1 to 65536": func(o *Options) { o.FleetSize = 0 },
		"rank: 3 of 3":                    func(o *Options) { o.Rank = 3 },
		"sites: 0 is not 1 to 65536":      func(o *Options) { o.Sites = 0 },
		"site: 2 of 2":                    func(o *Options) { o.Site = 2 },
		"limits: 9, want at most 8":       func(o *Options) { o.Limits = make([]Limit, 9) },
		"limits[0].name: missing":         func(o *Options) { o.Limits = []Limit{{Max: 1}} },
		"limits[0].a: NaN is out of range: must be above 0 and at most 1000000": func(o *Options) {
			o.Limits = []Limit{{Name: "a", Max: math.NaN()}}
		},
		"limits[0].floor: 2 is not between 0 and 1": func(o *Options) {
			o.Limits = []Limit{{Name: "a", Max: 1, FloorFraction: 2}}
		},
		"limits[0].expiryMargin: 1500000 us is out of range: must be at least 0 and below 1500000 us": func(o *Options) {
			o.Limits = []Limit{{Name: "a", Max: 1, ExpiryMargin: leaseLifetime}}
		},
	} {
		t.Run(want, func(t *testing.T) {
			options := valid
			change(&options)
			_, err := New(0, options)
			if !errors.Is(err, ErrInvalidOptions) || err.Error() != "invalid options: "+want {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}

// Guards against datagrams that a router of another version misinterprets. During an upgrade, a fleet has routers that
// support only core/gossip. Each version must drop the datagrams of the other, because their kind is unknown, and
// continue to work.
func TestVersionsDropEachOthersDatagrams(t *testing.T) {
	old, err := gossip.New(gossip.Options{Rank: 1, FleetSize: 20, Sites: 4, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(0, Options{
		FleetSize: 20, Sites: 4, Incarnation: 1, Limits: []Limit{{Name: "a", Max: 20, FloorFraction: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	n.Send = func(to int, datagram []byte) {
		sent++
		if err := old.Receive(second, 0, datagram, func(string) {}); !errors.Is(err, gossip.ErrMalformed) {
			t.Errorf("a router of the previous version accepts %x: %v", datagram, err)
		}
	}
	for now := int64(0); now < 5*second; now += tickInterval {
		n.Tick(now)
	}
	if err := n.Receive(second, 1, old.ReportOverload(second, "s-00000001")); !errors.Is(err, ErrMalformed) {
		t.Errorf("%v, want %v", err, ErrMalformed)
	}
	if quota := n.Quota(5*second, 0); sent == 0 || quota != 1 {
		t.Errorf("%d datagrams sent, want more than 0; quota %v, want 1", sent, quota)
	}
}

// Guards against datagrams with any content that make a node panic or raise its quota above its floor.
func FuzzReceive(f *testing.F) {
	m := message{rank: 1, incarnation: 2, sequence: 3, updates: []update{{0, 1, 0, stateDead}, {1, 9, 9, stateAlive}}}
	for kind := pingMessage; kind < messageKindEnd; kind++ {
		m.kind = kind
		f.Add(m.append(nil))
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		n, err := New(0, Options{
			Rank: 2, FleetSize: 4, Sites: 1, Incarnation: 1, Limits: []Limit{{Name: "a", Max: 4, FloorFraction: 0.5}},
		})
		if err != nil {
			t.Fatal(err)
		}
		n.Send = func(_ int, sent []byte) {
			if len(sent) > MaxDatagramSize {
				t.Fatalf("a datagram of %d bytes", len(sent))
			}
		}
		err = n.Receive(second, 1, datagram)
		isExpected := errors.Is(err, ErrMalformed) || errors.Is(err, ErrUnknownSender) || errors.Is(err, ErrStale)
		if err != nil && !isExpected {
			t.Fatal(err)
		}
		n.Tick(2 * second)
		if quota := n.Quota(2*second, 0); quota > 0.5 {
			t.Fatalf("datagram %x raises the quota to %v, above the floor of 0.5", datagram, quota)
		}
	})
}

func TestKindAndConditionNames(t *testing.T) {
	for kind := pingMessage; kind < messageKindEnd; kind++ {
		if kind.String() == "" || kind.bodySize() == 0 {
			t.Errorf("kind %d has no name or no body", byte(kind))
		}
	}
	if got, want := messageKindEnd.String(), "messageKind(11)"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if got, want := conditionEnd.String(), "Condition(3)"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
