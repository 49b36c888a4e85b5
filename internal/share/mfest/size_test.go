package mfest

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fileWithWorkspaces returns a manifest file with the given number of workspaces.
func fileWithWorkspaces(workspaces int) []byte {
	var b strings.Builder
	before, after, _ := strings.Cut(string(defaultText), `"Workspaces": [`)
	b.WriteString(before + `"Workspaces": [`)
	for i := range workspaces {
		fmt.Fprintf(&b, "\n{\"Name\": \"workspace-%05d\", \"KeyHashes\": [%q], \"Weight\": 1, \"MaxOpen\": 64, \"Classes\": [\"urgent\", \"standard\"], \"DefaultClass\": \"urgent\"},",
			i, HashKey(fmt.Sprint("key", i)))
	}
	b.WriteString(after)
	return []byte(b.String())
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 10_000, 17_000} {
		text := fileWithWorkspaces(n)
		m, list := Parse("sized.hujson", text)
		qt.Assert(b, list.Err(), qt.IsNil)
		body, err := Pack(m)
		qt.Assert(b, err, qt.IsNil)
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
			})
		}
		run("Parse", func() { Parse("sized.hujson", text) })
		run("Pack", func() { _, _ = Pack(m) })
		run("UnpackAndIndex", func() {
			u, _ := Unpack(body.Packed, body.Hash)
			NewIndex(u)
		})
		run("Both", func() { Intersect(m, m) })
		run("Diff", func() { Diff(m, m) })
		b.Run(fmt.Sprintf("Held/%d", n), func(b *testing.B) {
			before := heapBytes()
			var held []*Index
			for b.Loop() {
				u, _ := Unpack(body.Packed, body.Hash)
				held = append(held, NewIndex(u))
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(held)*(n+2)), "B/workspace")
			b.ReportMetric(float64(len(body.Packed)), "packedB")
			runtime.KeepAlive(held)
		})
	}
}
