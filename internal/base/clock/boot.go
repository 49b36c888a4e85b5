package clock

import "golang.org/x/sys/unix"

const (
	millisPerSecond = 1_000
	nanosPerMilli   = 1_000_000
)

// bootTime reads the boot-time clock, which includes the time that the machine
// was suspended. The call fails only for a clock that the kernel lacks; every
// kernel that Go supports has this one.
func bootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(t.Sec*millisPerSecond + t.Nsec/nanosPerMilli)
}
