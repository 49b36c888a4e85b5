package entry

import (
	"runtime"
	"syscall"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// setProcessGauges sets the gauges of the process: CPU time in milliseconds, heap
// and total memory in bytes, and the number of goroutines.
func setProcessGauges(s *count.Set) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		s.Set("siskinsaddle_processor_milliseconds", millis(usage.Utime)+millis(usage.Stime))
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
