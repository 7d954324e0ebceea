// Package budget checks in tests that an input from outside takes little memory and processor time, whatever it holds.
package budget

import (
	"runtime"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	// MaxMemory is a tenth of the memory of the smallest instance, in bytes.
	MaxMemory = 123 << 20 / 10
	// MaxTime is the processor time that refusing or taking an input may need.
	MaxTime = 100 * time.Millisecond
)

// AssertCheap asserts that work needs at most MaxTime and MaxMemory.
func AssertCheap(c *qt.C, work func()) {
	c.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := threadTime(c)
	AssertSmall(c, work)
	took := threadTime(c) - started
	c.Assert(took < MaxTime, qt.IsTrue, qt.Commentf("%s", took))
}

// AssertSmall asserts that work needs at most MaxMemory, on the heap or on the stack.
func AssertSmall(c *qt.C, work func()) {
	c.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	used := after.TotalAlloc - before.TotalAlloc + after.StackSys - min(after.StackSys, before.StackSys)
	c.Assert(used < MaxMemory, qt.IsTrue, qt.Commentf("%d bytes", used))
}

// threadTime returns the processor time of this thread. Unlike the time that passes it does not grow on a busy machine.
func threadTime(c *qt.C) time.Duration {
	c.Helper()
	var usage unix.Rusage
	c.Assert(unix.Getrusage(unix.RUSAGE_THREAD, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
