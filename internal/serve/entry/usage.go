package entry

import (
	"runtime"
	"syscall"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// countUsage sets the gauges of the process: processor time in milliseconds,
// heap in bytes and the number of goroutines.
func countUsage(s *count.Set) {
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err == nil {
		s.Set("siskinsaddle_processor_milliseconds", millis(times.Utime)+millis(times.Stime))
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.Set("siskinsaddle_heap_bytes", int64(memory.HeapInuse))
	s.Set("siskinsaddle_memory_bytes", int64(memory.Sys))
	s.Set("siskinsaddle_goroutines", int64(runtime.NumGoroutine()))
}

const microPerMilli = 1_000

func millis(t syscall.Timeval) int64 {
	return int64(clock.Second)*t.Sec + t.Usec/microPerMilli
}
