package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// settings configure an instance in zone east with one class.
const settings = `{"Classes":[{"Name":"page","Deadline":3000000,"Promise":300000,"Idempotency":"read_like"}],` +
	`"Extra":{"MasterKind":2,"ShieldKind":1,"FreshFor":[0]},"Kinds":["box","hub","origin"],` +
	`"Permissions":{"MaxAttempts":3},"Zone":"east","Zones":["east","hub"]}`

// start returns the messages that start an instance and send its endpoint list.
func start(id string) string {
	return fmt.Sprintf("BORN DirectorId=%s Entropy=4 BootInfo=%s\nFLEET DirectorId=%[1]s Mode=restored Rows=2\n"+
		"ROW Node=b:1 Campus=east Shape=box Status=healthy\nROW Node=o:1 Campus=hub Shape=origin Status=healthy\n",
		id, settings)
}

// reply runs the adapter on an input and returns the output.
func reply(t *testing.T, text string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(text), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Instances must act independently of each other, and a stopped instance must not act.
func TestInstancesAreIndependent(t *testing.T) {
	request := func(id string) string {
		return fmt.Sprintf("KNOCK DirectorId=%s Call=a1 Qos=page Resource=x ExpiresIn=9000\n", id)
	}
	both := reply(t, "ROUND Time=1000\nOVER_TO_YOU\n"+
		"ROUND Time=2000\n"+start("d1")+start("d2")+request("d1")+request("d2")+"OVER_TO_YOU\n")
	want := "ANSWER_FROM DirectorId=d1 Call=a1 GiveUpAfter=9000 Node=b:1 Feeder=o:1"
	if !strings.HasPrefix(both, "READY\n") || !strings.Contains(both, want) || strings.Count(both, "READY\n") != 2 {
		t.Errorf("got reply %q, want an empty reply, then one with an action of d1", both)
	}
	alone := reply(t, "ROUND Time=2000\n"+start("d1")+request("d1")+"OVER_TO_YOU\n")
	if !strings.Contains(both, strings.TrimSuffix(alone, "READY\n")) {
		t.Errorf("reply of an instance alone differs from its reply beside another:\n%s\n%s", alone, both)
	}
	stopped := reply(t, "ROUND Time=2000\n"+start("d1")+"SHUTDOWN DirectorId=d1\n"+request("d1")+"OVER_TO_YOU\n")
	if stopped != "READY\n" {
		t.Errorf("stopped instance replied %q", stopped)
	}
}

// Invalid input must result in an error that names the line or the setting, and in no output.
func TestRunInvalidInput(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("ROUND Time=1\nNOISE DirectorId=d\nOVER_TO_YOU\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 2") || out.Len() != 0 {
		t.Errorf("error %v, output %q", err, out.String())
	}
	err = run(strings.NewReader("ROUND Time=1\nBORN DirectorId=d Entropy=1 BootInfo={}\nOVER_TO_YOU\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("invalid settings: error %v", err)
	}
}
