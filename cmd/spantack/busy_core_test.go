package main

import (
	"errors"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"unsafe"
)

// spinnerCount is the number of programs with a busy loop that share a core with the router. spinnerLifetime is the
// time after which these programs exit, in seconds.
const (
	spinnerCount    = 2
	spinnerLifetime = "4"
)

// busyCore is a core of the machine that is kept busy by other programs.
type busyCore struct{ mask [128]byte }

// newBusyCore chooses a core that this process may use, and keeps it busy until the end of the test or of
// spinnerLifetime.
func newBusyCore(t *testing.T) *busyCore {
	t.Helper()
	var allowed [128]byte
	if err := callAffinity(syscall.SYS_SCHED_GETAFFINITY, &allowed); err != nil {
		t.Fatal(err)
	}
	var cores []int
	for core := range 8 * len(allowed) {
		if allowed[core/8]&(1<<(core%8)) != 0 {
			cores = append(cores, core)
		}
	}
	chosen := cores[rand.IntN(len(cores))] // random, so that parallel runs mostly use different cores
	core := &busyCore{}
	core.mask[chosen/8] = 1 << (chosen % 8)
	for range spinnerCount {
		spinner := exec.Command("timeout", spinnerLifetime, "sh", "-c", "while :; do :; done")
		spinner.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := core.start(spinner); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			syscall.Kill(-spinner.Process.Pid, syscall.SIGKILL)
			spinner.Wait()
		})
	}
	return core
}

// start starts a program that is bound to the core.
func (b *busyCore) start(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before [128]byte
	if err := callAffinity(syscall.SYS_SCHED_GETAFFINITY, &before); err != nil {
		return err
	}
	if err := callAffinity(syscall.SYS_SCHED_SETAFFINITY, &b.mask); err != nil {
		return err
	}
	err := cmd.Start() // it inherits the thread's affinity
	return errors.Join(err, callAffinity(syscall.SYS_SCHED_SETAFFINITY, &before))
}

// callAffinity gets or sets the CPU affinity mask of this thread.
func callAffinity(call uintptr, mask *[128]byte) error {
	if _, _, errno := syscall.RawSyscall(call, 0, uintptr(len(mask)), uintptr(unsafe.Pointer(mask))); errno != 0 {
		return errno
	}
	return nil
}
