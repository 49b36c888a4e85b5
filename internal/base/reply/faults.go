package reply

import (
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
)

// Faults logs and counts broken responses by server. A nil *Faults does nothing.
type Faults struct {
	Log   *logs.Limited
	Count *count.Set
}

// report reports a fault of a server in its response to the request with an ID, "" for none.
func (f *Faults) report(server, id string, fault Fault) {
	if f == nil {
		return
	}
	f.Count.Add(meter.BrokenResponses, 1, meter.Label("fault", string(fault)), meter.Label("server", server))
	fields := []any{"server", server, "fault", string(fault)}
	if id != "" {
		fields = append(fields, "id", id)
	}
	f.Log.Warn("A server's response is broken.", fields...)
}
