// Package meter defines the name, unit and meaning of every metric of a host
// that proxies requests. The table of metrics in docs/OPERATIONS.md is generated
// from it.
//
// # Usage
//
//	set := count.NewSet()
//	set.Add(meter.Requests, 1, meter.Label("outcome", "Served"))
//	set.Observe(meter.FirstEvent, 212, meter.Label("route", "quote"))
package meter

import (
	"fmt"
	"strings"

	"siskinsaddle/internal/base/count"
)

// Names of the metrics; Metrics describes each.
const (
	Requests        = "siskinsaddle_requests_total"
	Refused         = "siskinsaddle_refused_total"
	Resends         = "siskinsaddle_resends_total"
	Attempts        = "siskinsaddle_attempts_total"
	BrokenResponses = "siskinsaddle_broken_responses_total"
	BadRequests     = "siskinsaddle_bad_requests_total"
	Panics          = "siskinsaddle_panics_total"
	LogLinesDropped = "siskinsaddle_log_lines_left_out_total"
	OpenRequests    = "siskinsaddle_open_requests"
	Connections     = "siskinsaddle_caller_connections"
	Manifest        = "siskinsaddle_manifest_version"
	ManifestAge     = "siskinsaddle_manifest_age_milliseconds"
	Unreadable      = "siskinsaddle_manifest_unreadable"
	ReadsStore      = "siskinsaddle_reads_store"
	Servers         = "siskinsaddle_servers"
	Hosts           = "siskinsaddle_hosts"
	Goroutines      = "siskinsaddle_goroutines"
	Ready           = "siskinsaddle_ready"
	QueueTime       = "siskinsaddle_queue_milliseconds"
	FirstEvent      = "siskinsaddle_first_event_milliseconds"
	WholeAnswer     = "siskinsaddle_whole_answer_milliseconds"
	StoreTime       = "siskinsaddle_store_milliseconds"
	StoreCalls      = "siskinsaddle_store_calls_total"
	LongestPause    = "siskinsaddle_longest_pause_milliseconds"
	RepeatsLeft     = "siskinsaddle_repeats_left"
	LogQueueDropped = "siskinsaddle_log_queue_left_out"
	GrantTime       = "siskinsaddle_grant_milliseconds"
	RoundTime       = "siskinsaddle_decision_round_milliseconds"
	WaitingRequests = "siskinsaddle_waiting_requests"
	BufferedBytes   = "siskinsaddle_buffered_bytes"

	OddFields           = "siskinsaddle_odd_fields_total"
	QuarantinedSegments = "siskinsaddle_quarantined_segments"
)

// Metric describes one metric.
type Metric struct {
	Name string
	// Kind is Counter, Gauge or Latency.
	Kind string
	// Unit is the unit of the value, such as "requests".
	Unit string
	// Labels lists the label keys, separated by commas.
	Labels string
	// Meaning explains the value to an operator.
	Meaning string
}

// Metrics describes all metrics, in the order of the table.
var Metrics = []Metric{
	{Requests, "Counter", "requests", "outcome, route", "requests that ended, by how: Served, ServerFailed, Refused, BrokenOff, CallerGone"},
	{Refused, "Counter", "requests", "reason, route", "refusals of this host, by reason"},
	{Resends, "Counter", "attempts", "rule, cause", "further attempts after one that failed"},
	{Attempts, "Counter", "attempts", "outcome, server", "attempts by how they ended at the server"},
	{BrokenResponses, "Counter", "responses", "fault, server", "responses that break the rules of HTTP, also those to status checks and other queries, by what is wrong with them: StatusLine, Status, FieldName, FieldValue, LineEnd, Length, Coding, Chunk, CutHeader, CutBody, Unreadable"},
	{BadRequests, "Counter", "requests", "reason", "requests that could not be read"},
	{Panics, "Counter", "requests", "", "requests whose handler panicked"},
	{OddFields, "Counter", "responses", "field", "responses of servers with a field that cannot be read, by field: Leaving, HoldOff"},
	{LogLinesDropped, "Counter", "lines", "cause", "log lines above the rate of their kind"},
	{LogQueueDropped, "Gauge", "lines", "", "log lines left out so far because the reader of the output stalled"},
	{StoreCalls, "Counter", "calls", "call, outcome", "calls to the platform's store, by Read, Watch, Commit and Answered, Failed"},
	{OpenRequests, "Gauge", "requests", "", "requests that are being answered"},
	{Connections, "Gauge", "connections", "", "callers' connections"},
	{Manifest, "Gauge", "version", "", "version of the manifest in force"},
	{ManifestAge, "Gauge", "milliseconds", "", "age of the manifest's confirmation"},
	{Unreadable, "Gauge", "0 or 1", "", "1 if the newest manifest that the host has read cannot be decoded"},
	{ReadsStore, "Gauge", "0 or 1", "", "whether this host reads the store; the others have their news from one that does"},
	{BufferedBytes, "Gauge", "bytes", "", "memory of responses that are read whole before they are forwarded, and of long events"},
	{Servers, "Gauge", "servers", "state", "backend servers by state: Usable, Leaving, Avoided; Limited ones, which have named a rate limit, are among the usable, and HeldOff ones, which want no requests for a while, among all"},
	{Hosts, "Gauge", "hosts", "", "hosts that share the budget of repeats"},
	{Goroutines, "Gauge", "goroutines", "", "goroutines of the process; a steady rise is a leak"},
	{Ready, "Gauge", "0 or 1", "", "whether the host asks for new connections"},
	{RepeatsLeft, "Gauge", "attempts", "service", "repeats that this host may still send"},
	{QuarantinedSegments, "Gauge", "segments", "", "prompt segments that are refused because prompts with them crash servers"},
	{WaitingRequests, "Gauge", "requests", "pool", "requests that wait in the queue of this host as a keeper"},
	{QueueTime, "Latency", "milliseconds", "route", "wait in the keeper's queue, as the keeper counts it"},
	{GrantTime, "Latency", "milliseconds", "route", "wait for the keeper's decision, as the request's host counts it"},
	{RoundTime, "Latency", "milliseconds", "pool", "time of one round of decisions of this host as a keeper"},
	{FirstEvent, "Latency", "milliseconds", "route", "arrival to the first event or the answer"},
	{WholeAnswer, "Latency", "milliseconds", "route", "arrival to the end of the answer"},
	{StoreTime, "Latency", "milliseconds", "call", "time of a call to the platform's store; a watch waits for changes"},
	{LongestPause, "Latency", "milliseconds", "route", "longest pause between two events of a stream"},
}

// Label returns a label for a metric.
func Label(key, value string) count.Label { return count.Label{Key: key, Value: value} }

// Table returns the table of metrics in docs/OPERATIONS.md as Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Labels, m.Meaning)
	}
	return b.String()
}
