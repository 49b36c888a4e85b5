package clock

import "golang.org/x/sys/unix"

const (
	millisPerSecond = 1_000
	nanosPerMilli   = 1_000_000
)

// bootTime reads the clock that counts suspension. The call fails only for a
// clock that the kernel does not have, and this one is older than every kernel
// that Go supports.
func bootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("the kernel has no clock that counts suspension: " + err.Error())
	}
	return Millis(t.Sec*millisPerSecond + t.Nsec/nanosPerMilli)
}
