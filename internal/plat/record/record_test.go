package record

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

type sample struct {
	Count Whole
	Delay Millis
	Rest  any
}

func TestDecodeRefusesOddRecords(t *testing.T) {
	c := qt.New(t)
	for text, ok := range map[string]bool{
		`{"Count": 64, "Delay": 1.5, "Rest": "[[[[\"{"}`: true,
		`{"Count": 6.4e1, "Delay": 0}`:                   true,
		`{"Count": null}`:                                true,
		`{"Count": 1e30}`:                                false,
		`{"Count": 1e999}`:                               false,
		`{"Count": 1.5}`:                                 false,
		`{"Count": "64"}`:                                false,
		`{"Count": true}`:                                false,
		`{"Count": 9007199254740993}`:                    true, // rounded as all writers do
		`{"Delay": 1e300}`:                               false,
		`{"Delay": -1}`:                                  false,
		`{"Delay": [1]}`:                                 false,
		`{"Count": `:                                     false,
		``:                                               false,
		strings.Repeat("[", 60_000):                      false,
		strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth):                           false,
		`{"Rest": ` + strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth) + `}`:       false,
		`{"Rest": ` + strings.Repeat("[", maxDepth-1) + strings.Repeat("]", maxDepth-1) + `}`:   true,
		`{"Rest": ` + strings.Repeat(`{"a":`, 60_000) + "1" + strings.Repeat("}", 60_000) + `}`: false,
		`{"Rest": "` + strings.Repeat("x", maxBytes) + `"}`:                                     false,
	} {
		var s sample
		err := Decode([]byte(text), &s)
		c.Check(err == nil, qt.Equals, ok, qt.Commentf("%.60s: %v", text, err))
	}
}

func TestCheckAddressWantsADialableAddress(t *testing.T) {
	c := qt.New(t)
	for text, ok := range map[string]bool{
		"10.0.0.1:1": true, "10.0.0.1:65535": true, "[::1]:80": true,
		"10.0.0.1:0": false, "10.0.0.1:65536": false, "10.0.0.1:99999": false, "10.0.0.1:-1": false, "10.0.0.1": false,
		"10.0.0.1:http": false, "host:80": false, "": false, "0.0.0.0:80": false, "224.0.0.1:80": false, "[fe80::1%eth0]:80": false,
		"10.0.0.1:80\r\nX: y": false,
	} {
		c.Check(CheckAddress(text) == nil, qt.Equals, ok, qt.Commentf("%q", text))
	}
}

func TestCheckNameWantsVisibleCharacters(t *testing.T) {
	c := qt.New(t)
	for text, ok := range map[string]bool{"i-1": true, "": false, "a b": false, "a\r\nX: y": false, "\x00": false, "é": false, strings.Repeat("x", 201): false} {
		c.Check(CheckName(text) == nil, qt.Equals, ok, qt.Commentf("%q", text))
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"Count": 1e30, "Delay": 1e300}`, `{"Rest": [[[[[[]]]]]]}`, `{"Count": -0.0}`, `[{"\\"`, `{"Delay": 2592000000}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		c := qt.New(t)
		var s sample
		if err := Decode(value, &s); err != nil {
			return
		}
		c.Assert(json.Valid(value), qt.IsTrue)
		c.Assert(s.Count >= -maxWhole && s.Count <= maxWhole && s.Delay >= 0 && s.Delay <= Millis(maxMillis), qt.IsTrue)
		c.Assert(depth(value) <= maxDepth, qt.IsTrue)
	})
}
