package trace

// Cause is why a request ended as it did.
type Cause struct {
	Outcome string
	Name    string
	Meaning string
}

// meanings are what an operator reads for each outcome and cause; an empty
// cause stands for all that are not listed.
var meanings = map[string]map[string]string{
	"Served": {
		"": "the caller got the whole answer; see first, pause and took for how late",
	},
	"ServerFailed": {
		"": "the backend server answered with a failure, which was passed on as it was; sends tells how many servers were tried",
	},
	"Refused": {
		"Unconfirmed": "the host could not confirm its manifest for age milliseconds, so that it could not know which keys were withdrawn; it refused as not run. See the store's lines above",
		"NotReady":    "the host had no manifest or list of servers yet",
		"WrongKey":    "the key belongs to no workspace in the manifest of that version",
		"UnknownPath": "no route of the manifest of that version has this host name and path",
		"Full":        "demand exceeded capacity: after waited milliseconds with its keeper no engine could begin in time, or the servers themselves refused; it has not run",
		"NoServer":    "no backend server of the service could be reached or was left to try; it has not run",
		"Stopping":    "the host was stopping and no server had been found yet; it has not run",
		"OutOfTime":   "the caller's time was over before a server was found; it has not run",
		"TimedOut":    "the server that got the request did not answer within the route's time limit; it may have run",
		"BackendFailed": "the connection to the server that got the request ended without an answer. The request may have run, and may not be repeated, so that its outcome is unknown. " +
			"Look for the server's own failure at that time",
	},
	"BrokenOff": {
		"Silent": "the stream had begun and its server sent nothing more until the time limit; the stream may not be resumed, or nothing was left to resume it with",
		"":       "the stream had begun when its server's connection ended; it may not be resumed, so that it was closed without its end",
	},
	"CallerGone": {
		"": "the caller closed its connection; see first and pause for what it had waited for",
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
		c.Meaning = "see the line"
	}
	return c
}
