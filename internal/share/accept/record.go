package accept

import (
	_ "embed" // the chart
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
)

//go:embed record.chart.hujson
var recordFile []byte

var recordChart = chart.MustParse("record.chart.hujson", recordFile)

// The states and events of record.chart.hujson.
const (
	StateAccepted chart.State = "Accepted"
	StateStaging  chart.State = "Staging"
	StateAborted  chart.State = "Aborted"

	eventStage    chart.Event = "Stage"
	eventConfirm  chart.Event = "Confirm"
	eventComplete chart.Event = "Complete"
	eventAbort    chart.Event = "Abort"
)

// Record is the content of the table record through which hosts and pushers
// reach agreement. Treat it as immutable.
type Record struct {
	Generation
	State chart.State
	// Previous is the last generation accepted before this one.
	Previous Generation
	// Needed lists the failure domains that have to confirm, Confirmed those
	// that did, LeftBehind those that, by the operator's choice, need not.
	Needed     []string
	Confirmed  []string
	LeftBehind []string `json:",omitempty"`
	// Push is the unique ID of the push that staged it.
	Push string
	// By names the operator or pipeline that pushed. At is the time of
	// staging as Unix time.
	By string
	At clock.Millis
	// Reason is why an aborted generation was aborted.
	Reason string `json:",omitempty"`
}

// newRecord is the record before the first push.
func newRecord() Record {
	return Record{State: recordChart.Initial}
}

func decodeRecord(body []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, errors.Wrap(err, "decoding the manifest record")
	}
	if _, ok := recordChart.States[r.State]; !ok {
		return Record{}, errors.Newf("manifest record has unknown state %q", r.State)
	}
	return r, nil
}

// InForce returns the accepted generation, with number 0 before the first.
func (r Record) InForce() Generation {
	if r.State == StateAccepted {
		return r.Generation
	}
	return r.Previous
}

// Staged returns the generation whose outcome is undecided, with number 0 if none.
func (r Record) Staged() Generation {
	if r.State == StateStaging {
		return r.Generation
	}
	return Generation{}
}

// closed returns the highest number whose outcome follows from the record.
func (r Record) closed() int64 {
	if r.State == StateStaging {
		return r.Number - 1
	}
	return r.Number
}

// Unconfirmed returns the needed domains that have not confirmed.
func (r Record) Unconfirmed() []string {
	return slices.DeleteFunc(slices.Clone(r.Needed), func(d string) bool { return slices.Contains(r.Confirmed, d) })
}

// WithStaged stages a body under the next number. If no domain is needed,
// WithConfirmed without domains accepts it.
func (r Record) WithStaged(s Record) (Record, error) {
	transition, err := recordChart.Step(r.State, eventStage)
	if err != nil {
		return r, err
	}
	s.Number = r.Number + 1
	s.State = transition.To
	s.Previous = r.InForce()
	s.Confirmed = nil
	s.Reason = ""
	return s, nil
}

// WithConfirmed adds the confirmations of failure domains, and accepts the
// generation if every needed one has confirmed.
func (r Record) WithConfirmed(domains ...string) (Record, error) {
	r.Confirmed = slices.Clone(r.Confirmed)
	for _, d := range domains {
		if slices.Contains(r.Unconfirmed(), d) {
			r.Confirmed = append(r.Confirmed, d)
		}
	}
	event := eventConfirm
	if len(r.Unconfirmed()) == 0 {
		event = eventComplete
	}
	transition, err := recordChart.Step(r.State, event)
	r.State = transition.To
	return r, err
}

// WithAborted ends the staged generation without accepting it.
func (r Record) WithAborted(reason string) (Record, error) {
	transition, err := recordChart.Step(r.State, eventAbort)
	r.State = transition.To
	r.Reason = reason
	return r, err
}
