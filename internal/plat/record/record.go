// Package record decodes JSON records in tables that other programs may write to. A record
// that is odd in any way is an error as a whole: its size, how deep it is nested, a number
// that is out of range or no number at all, an address that cannot be dialed. Numbers are
// converted in the same way on each processor.
//
// # Usage
//
//	var w struct {
//		Slots   record.Whole
//		Delay   record.Millis
//		Address string
//	}
//	if err := record.Decode(row.Value, &w); err != nil { ... }
//	if err := record.CheckAddress(w.Address); err != nil { ... }
package record

import (
	"encoding/json"
	"math"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

const (
	// maxBytes bounds a record. The store's rows are smaller.
	maxBytes = 1 << 20
	// maxDepth bounds the nesting. Manifests have five levels.
	maxDepth = 32
	// maxWhole is the largest whole number that all JSON writers can represent.
	maxWhole = 1 << 53
	// maxMillis bounds times, in milliseconds.
	maxMillis = 30 * 24 * clock.Hour
	// maxNameBytes is the length of the store's longest key.
	maxNameBytes = 200
)

// Decode decodes a record into a value.
func Decode(value []byte, into any) error { return DecodeLong(value, maxBytes, into) }

// DecodeLong is like Decode for a record of at most limit bytes.
func DecodeLong(value []byte, limit int, into any) error {
	if len(value) > limit {
		return errors.Newf("the record has %d bytes, more than %d", len(value), limit)
	}
	if depth(value) > maxDepth {
		return errors.Newf("the record is nested more than %d levels deep", maxDepth)
	}
	return json.Unmarshal(value, into)
}

// depth returns how deep arrays and objects are nested. Malformed text has any depth.
func depth(value []byte) int {
	deepest, level, inString := 0, 0, false
	for i := 0; i < len(value); i++ {
		switch c := value[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			level++
			deepest = max(deepest, level)
		case c == ']' || c == '}':
			level--
		}
	}
	return deepest
}

// Whole is a whole number of at most 53 bits. In JSON it may have a point or an exponent.
type Whole int64

// UnmarshalJSON implements json.Unmarshaler. A null leaves the number as it is.
func (w *Whole) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	n, err := number(text)
	if err != nil {
		return err
	}
	if n != math.Trunc(n) || math.Abs(n) > maxWhole {
		return errors.Newf("%.40s is no whole number of at most 53 bits", text)
	}
	*w = Whole(n)
	return nil
}

// Weight is a share relative to others, 0 or more. In JSON it may have a fraction.
type Weight float64

// UnmarshalJSON implements json.Unmarshaler. A null leaves the weight as it is.
func (w *Weight) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	n, err := number(text)
	if err != nil {
		return err
	}
	if n < 0 || n > maxWhole {
		return errors.Newf("%.40s is no weight from 0 to 2^53", text)
	}
	*w = Weight(n)
	return nil
}

// Millis is a time of 0 to 30 days in milliseconds, in JSON with an optional fraction, which is
// cut off.
type Millis clock.Millis

// UnmarshalJSON implements json.Unmarshaler. A null leaves the time as it is.
func (m *Millis) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	n, err := number(text)
	if err != nil {
		return err
	}
	if n < 0 || n > float64(maxMillis) {
		return errors.Newf("%.40s is no time from 0 to %d ms", text, maxMillis)
	}
	*m = Millis(n)
	return nil
}

func number(text []byte) (float64, error) {
	if len(text) > 0 && (text[0] == '-' || (text[0] >= '0' && text[0] <= '9')) {
		if n, err := strconv.ParseFloat(string(text), 64); err == nil {
			return n, nil
		}
	}
	return 0, errors.Newf("%.40s is no number in range", text)
}

// CheckAddress returns an error if a text is no "IP:port" that can be dialed.
func CheckAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Newf("%.80q is no IP address with a port from 1 to 65535", text)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return errors.Newf("%.80q is no address that can be dialed", text)
	}
	return nil
}

// CheckName returns an error if a text is no name: 1 to 200 visible ASCII characters, so that
// it can stand in a header field or a log line.
func CheckName(text string) error {
	if text == "" || len(text) > maxNameBytes {
		return errors.Newf("a name has %d bytes, not 1 to %d", len(text), maxNameBytes)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return errors.Newf("the name %.80q has a character that is not visible ASCII", text)
		}
	}
	return nil
}
