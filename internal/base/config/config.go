// Package config holds the settings of one host: its addresses, its failure
// domain, the platform's addresses and the limits for callers and backend
// servers. Configuration shared by all hosts is in the manifest instead.
//
// Settings are JSON with comments; field names are in Pascal case. A file lists
// only the settings that differ from Default. Parse reports every unknown field
// and every invalid value together, each with its line and column.
//
// # Usage
//
//	s, list := config.Parse("host.hujson", text)
//	if err := list.Err(); err != nil {
//		return err
//	}
//	config.Show(os.Stdout, s) // every value in force, without secrets
package config

import (
	"net/netip"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
	"siskinsaddle/internal/base/logs"
)

// Secret is a string that is masked when printed.
type Secret string

// String returns a fixed placeholder, or "" for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// Settings are the settings of one host.
type Settings struct {
	HostName      string     `about:"name of this host, unique in the deployment"`
	Region        string     `about:"region of this host"`
	FailureDomain string     `about:"failure domain of this host"`
	Callers       Callers    `about:"towards callers"`
	Links         Links      `about:"towards the other hosts"`
	Backend       Backend    `about:"towards backend servers"`
	Platform      Platform   `about:"towards the platform"`
	Stop          Stop       `about:"how a planned stop goes"`
	Orders        Orders     `about:"orders to model engines"`
	LogLevel      logs.Level `about:"Debug, Info, Warn or Error"`
}

// Callers configures the listeners for callers and operators.
type Callers struct {
	Address                   string       `about:"IP:port that callers reach"`
	OperatorAddress           string       `about:"IP:port for /status; loopback unless OperatorSecret is set"`
	OperatorSecret            Secret       `about:"bearer token of operators"`
	MaxHeaderBytes            int          `about:"longest request header"`
	MaxBodyBytes              int          `about:"longest request body"`
	MaxConnections            int          `about:"open connections at the most"`
	SendTimeoutMilliseconds   clock.Millis `about:"time for a caller to send one whole request"`
	AcceptTimeoutMilliseconds clock.Millis `about:"time for a caller to take one part of an answer"`
}

// Links configures the links between hosts.
type Links struct {
	Address string `about:"IP:port that the other hosts reach"`
	Secret  Secret `about:"secret shared by all hosts, at least 16 characters"`
}

// Backend configures requests to backend servers.
type Backend struct {
	DialTimeoutMilliseconds     clock.Millis `about:"time to open a connection"`
	FirstTimeoutMilliseconds    clock.Millis `about:"longest wait for the first part of an answer"`
	ProgressTimeoutMilliseconds clock.Millis `about:"longest silence within an answer"`
	MaxAnswerBytes              int          `about:"longest answer of a plain service"`
	MaxAttempts                 int          `about:"tries of one repeatable request without a new token at the most"`
}

// Platform configures access to the platform's table service, object store and
// list of hosts. The defaults are the addresses of the stand-in.
type Platform struct {
	Region                 string       `about:"region name for the platform's API"`
	TableEndpoint          string       `about:"URL of the table service"`
	TableName              string       `about:"name of the table"`
	ObjectEndpoint         string       `about:"URL of the object store"`
	Bucket                 string       `about:"name of the bucket"`
	ListAddress            string       `about:"IP:port of the list of hosts"`
	AccessKey              string       `about:"access key of the platform's API"`
	SecretKey              Secret       `about:"secret key of the platform's API"`
	TimeoutMilliseconds    clock.Millis `about:"longest wait for one answer"`
	ListPeriodMilliseconds clock.Millis `about:"time between two readings of the list, at the least; long lists are read less often"`
}

// Stop configures a planned stop.
type Stop struct {
	BalancerMilliseconds clock.Millis `about:"time between failing readiness and refusing new work"`
}

// Orders configures the orders sent to model engines. All hosts of a failure
// domain must have the same values.
type Orders struct {
	LongestMilliseconds    clock.Millis `about:"longest time from an order to its end"`
	LoadPeriodMilliseconds clock.Millis `about:"time between two loads out of the weight store, for one service in one failure domain"`
}

// Default returns the settings that apply where a file sets nothing. The limits
// are sized for a small host; the addresses are loopback.
func Default() Settings {
	return Settings{
		HostName:      "host-1",
		Region:        "prairie",
		FailureDomain: "prairie-a",
		Callers: Callers{
			Address:                   "127.0.0.1:8080",
			OperatorAddress:           "127.0.0.1:8081",
			MaxHeaderBytes:            16 << 10,
			MaxBodyBytes:              4 << 20,
			MaxConnections:            20_000,
			SendTimeoutMilliseconds:   10 * clock.Second,
			AcceptTimeoutMilliseconds: 20 * clock.Second,
		},
		Links: Links{Address: "127.0.0.1:8082", Secret: "embedded-default-secret"},
		Backend: Backend{
			DialTimeoutMilliseconds:     300,
			FirstTimeoutMilliseconds:    20 * clock.Second,
			ProgressTimeoutMilliseconds: 2 * clock.Second,
			MaxAnswerBytes:              8 << 20,
			MaxAttempts:                 3,
		},
		Platform: Platform{
			Region:                 "prairie",
			TableEndpoint:          "http://127.0.0.1:7401",
			ObjectEndpoint:         "http://127.0.0.1:7401",
			ListAddress:            "127.0.0.1:7401",
			AccessKey:              "embedded",
			SecretKey:              "embedded",
			TableName:              "siskinsaddle",
			Bucket:                 "siskinsaddle",
			TimeoutMilliseconds:    clock.Second,
			ListPeriodMilliseconds: 2 * clock.Second,
		},
		Stop: Stop{BalancerMilliseconds: 2 * clock.Second},
		Orders: Orders{
			LongestMilliseconds:    clock.Minute,
			LoadPeriodMilliseconds: 5 * clock.Second,
		},
		LogLevel: logs.LevelInfo,
	}
}

// Parse decodes settings on top of Default and validates all of them.
func Parse(file string, text []byte) (Settings, diag.List) {
	s := Default()
	index, list := diag.Decode(file, text, &s)
	return s, list.With(check(s, index)...)
}

const minSecretLength = 16

// check returns a finding for each invalid value.
func check(s Settings, x diag.Index) []diag.Finding {
	var findings []diag.Finding
	for _, n := range requiredStrings(s) {
		if strings.TrimSpace(n.value) == "" {
			findings = append(findings, x.At(n.path, "a name is wanted"))
		}
	}
	for _, a := range addressFields(s) {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			findings = append(findings, x.At(a.path, "address %q is not IP:port", a.value))
		}
	}
	for _, n := range positiveNumbers(s) {
		if n.value <= 0 {
			findings = append(findings, x.At(n.path, "%d is not above 0", n.value))
		}
	}
	if len(s.Links.Secret) < minSecretLength {
		findings = append(findings, x.At("Links.Secret", "the secret has fewer than %d characters", minSecretLength))
	}
	if !s.LogLevel.Valid() {
		findings = append(findings, x.At("LogLevel", "level %q is not Debug, Info, Warn or Error", s.LogLevel))
	}
	return append(findings, checkOperator(s, x)...)
}

// checkOperator rejects an operator address that the network can reach unless a
// secret protects it.
func checkOperator(s Settings, x diag.Index) []diag.Finding {
	at, err := netip.ParseAddrPort(s.Callers.OperatorAddress)
	if err != nil || at.Addr().IsLoopback() || s.Callers.OperatorSecret != "" {
		return nil
	}
	return []diag.Finding{x.At("Callers.OperatorAddress", "a non-loopback address requires OperatorSecret")}
}

// stringField is a string setting and its path.
type stringField struct {
	path  string
	value string
}

func requiredStrings(s Settings) []stringField {
	return []stringField{
		{path: "HostName", value: s.HostName},
		{path: "Region", value: s.Region},
		{path: "FailureDomain", value: s.FailureDomain},
		{path: "Platform.TableEndpoint", value: s.Platform.TableEndpoint},
		{path: "Platform.ObjectEndpoint", value: s.Platform.ObjectEndpoint},
		{path: "Platform.TableName", value: s.Platform.TableName},
		{path: "Platform.Bucket", value: s.Platform.Bucket},
	}
}

func addressFields(s Settings) []stringField {
	return []stringField{
		{path: "Callers.Address", value: s.Callers.Address},
		{path: "Callers.OperatorAddress", value: s.Callers.OperatorAddress},
		{path: "Links.Address", value: s.Links.Address},
		{path: "Platform.ListAddress", value: s.Platform.ListAddress},
	}
}

// numberField is a numeric setting and its path.
type numberField struct {
	path  string
	value int64
}

func positiveNumbers(s Settings) []numberField {
	return []numberField{
		{"Callers.MaxHeaderBytes", int64(s.Callers.MaxHeaderBytes)},
		{"Callers.MaxBodyBytes", int64(s.Callers.MaxBodyBytes)},
		{"Callers.MaxConnections", int64(s.Callers.MaxConnections)},
		{"Callers.SendTimeoutMilliseconds", int64(s.Callers.SendTimeoutMilliseconds)},
		{"Callers.AcceptTimeoutMilliseconds", int64(s.Callers.AcceptTimeoutMilliseconds)},
		{"Backend.DialTimeoutMilliseconds", int64(s.Backend.DialTimeoutMilliseconds)},
		{"Backend.FirstTimeoutMilliseconds", int64(s.Backend.FirstTimeoutMilliseconds)},
		{"Backend.ProgressTimeoutMilliseconds", int64(s.Backend.ProgressTimeoutMilliseconds)},
		{"Backend.MaxAnswerBytes", int64(s.Backend.MaxAnswerBytes)},
		{"Backend.MaxAttempts", int64(s.Backend.MaxAttempts)},
		{"Platform.TimeoutMilliseconds", int64(s.Platform.TimeoutMilliseconds)},
		{"Orders.LongestMilliseconds", int64(s.Orders.LongestMilliseconds)},
		{"Orders.LoadPeriodMilliseconds", int64(s.Orders.LoadPeriodMilliseconds)},
		{"Platform.ListPeriodMilliseconds", int64(s.Platform.ListPeriodMilliseconds)},
	}
}
