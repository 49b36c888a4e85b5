package disco_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/plat/disco"
)

// BenchmarkRead measures one read of the list and its size in bytes, by number
// of machines. The platform's stand-in runs in the same process.
func BenchmarkRead(b *testing.B) {
	for _, machines := range []int{17, 100, 400, 1_020} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			platform := &cloud.Cloud{}
			qt.Assert(b, platform.Start(), qt.IsNil)
			defer platform.Stop()
			for i := range machines {
				platform.SetEntry(disco.Entry{
					Name: fmt.Sprintf("canvas-llm-%04d", i), Kind: disco.KindBackendServer, Service: "canvas-llm", Region: "prairie",
					FailureDomain: fmt.Sprintf("prairie-%d", i%6), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), State: disco.StateLive,
				})
			}
			list := disco.NewHTTP(platform.Address(), clock.Minute)
			b.ReportAllocs()
			var entries []disco.Entry
			for b.Loop() {
				var err error
				entries, err = list.Read(context.Background())
				qt.Assert(b, err, qt.IsNil)
			}
			qt.Assert(b, entries, qt.HasLen, machines)
			text, err := json.Marshal(entries)
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(text)), "bytes/read")
		})
	}
}
