package soak

import "testing"

func TestMemoryIsReadBeforeTheFirstStart(_ *testing.T) {
	h := &host{harness: &harness{}}
	h.recordMemory() // must not panic
}
