package disco_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/fakes/hangup"
	"siskinsaddle/internal/plat/disco"
)

// An empty list would take all servers out of use.
func TestBrokenResponseIsNoList(t *testing.T) {
	for fault, text := range map[reply.Fault]string{
		reply.FaultStatus:    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n[]",
		reply.FaultFieldName: "HTTP/1.1 200 OK\r\nX Note: odd\r\nContent-Length: 2\r\n\r\n[]",
		reply.FaultLineEnd:   "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\n[]",
		reply.FaultCutHeader: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	} {
		t.Run(string(fault), func(t *testing.T) {
			c := qt.New(t)
			s := &hangup.Server{}
			c.Assert(s.Start(), qt.IsNil)
			defer s.Stop()
			s.SetResponse(text)
			s.SetCut(hangup.AfterResponse, hangup.Close)
			counters := count.NewSet()
			l := logs.Limit(logs.Discard(), clock.System(), nil)
			entries, err := disco.NewHTTP(s.Address(), clock.Second, &reply.Faults{Log: l, Count: counters}).Read(context.Background())
			c.Assert(err, qt.ErrorIs, disco.ErrUnavailable)
			c.Assert(entries, qt.IsNil)
			c.Assert(counters.Count(meter.BrokenResponses, meter.Label("fault", string(fault)), meter.Label("server", s.Address())), qt.Equals, int64(1))
		})
	}
}

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
			list := disco.NewHTTP(platform.Address(), clock.Minute, nil)
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
