package trace

// Cause explains the outcome of a request. Outcome and Name are the fields
// outcome and cause of its last log line, Meaning is the text for operators.
type Cause struct {
	Outcome string
	Name    string
	Meaning string
}

// meanings maps outcomes and causes to their explanations for operators; the
// empty cause matches all causes that are not listed.
var meanings = map[string]map[string]string{
	"Served": {
		"EndUnmarked": "the server's response ended with its connection, and so did the caller's: nothing tells whether it was complete",
		"":            "the caller received the complete answer; see first, pause and took for its latency",
	},
	"ServerFailed": {
		"": "the backend server answered with an error, which was forwarded unchanged; sends is the number of servers that were tried",
	},
	"Refused": {
		"Unconfirmed": "the host had not been able to confirm its manifest for age milliseconds, so keys might have been withdrawn without its knowledge; the request was refused and has not run. See the lines about the store above",
		"NotReady":    "the host had not loaded a manifest or a list of servers yet",
		"WrongKey":    "the key belongs to no workspace in the manifest of that version",
		"UnknownPath": "no route of the manifest of that version has this host name and path",
		"Full":        "demand exceeded capacity: after waited milliseconds in its keeper's queue no engine could start it in time, or the servers themselves refused it; it has not run",
		"NoServer":    "no backend server of the service could be reached, or all had been tried; it has not run",
		"Stopping":    "the host was stopping and no server had been selected yet; it has not run",
		"HostStopped": "the host's time to stop was over while a server still ran the request; it may have run",
		"OutOfTime":   "the caller's deadline passed before a server was selected; it has not run",
		"TimedOut":    "the server that got the request did not answer within the route's time limit; it may have run",
		"Quarantined": "a segment of the prompt is quarantined, because prompts with it have crashed servers; it has not run. See the lines of prefix guard",
		"BackendFailed": "the connection to the server that got the request ended without an answer, or the server refused it without stating that it did not run. The request may have run, and may not be repeated, so that its outcome is unknown. " +
			"Look for the server's own failure at that time",
	},
	"BrokenOff": {
		"Silent":       "the stream had started and its server sent nothing more until the time limit; the stream may not be resumed, or no server, retry budget or time was left to resume it",
		"TooLong":      "the stream had started when its server sent an event without an end; the stream may not be resumed, or no server, retry budget or time was left to resume it",
		"EndUnmarked":  "the stream had started in chunks at one server and ended with the connection to another one, which marks no end; it may have been complete",
		"ResumeFailed": "the stream had started and broke off; the next server's answer was no stream that goes on with it, and no server, retry budget or time was left for another attempt",
		"HostStopped":  "the stream had started and its server still ran it when the host's time to stop was over",
		"":             "the stream had started when the connection to its server ended; it may not be resumed, so it was closed before its end",
	},
	"CallerGone": {
		"": "the caller closed its connection; see first and pause for how long it had waited",
	},
}

func causeOf(l Line) Cause {
	c := Cause{Outcome: l.Fields["outcome"], Name: l.Fields["cause"]}
	byCause := meanings[c.Outcome]
	c.Meaning = byCause[c.Name]
	if c.Meaning == "" {
		c.Meaning = byCause[""]
	}
	if c.Meaning == "" {
		c.Meaning = "see the log line"
	}
	return c
}
