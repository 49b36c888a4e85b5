package notice

import (
	"strings"

	"siskinsaddle/internal/base/clock"
)

// ParseLeaving parses the field that says whether a server is leaving: 1, or 0 for not. It
// reports false in the second value for anything else.
func ParseLeaving(text string) (leaving, ok bool) {
	switch strings.TrimSpace(text) {
	case "1":
		return true, true
	case "", "0":
		return false, true
	default:
		return false, false
	}
}

// maxDigits bounds the digits of a hold-off, so that the sum of them does not overflow.
const maxDigits = 12

// ParseHoldOff parses the values of the fields that name a hold-off, in seconds with an
// optional fraction, into milliseconds, rounded up and at most maxHoldOff. Several values
// that differ give the longest. It reports false if a value cannot be read; the others
// hold.
func ParseHoldOff(values []string) (clock.Millis, bool) {
	longest, ok := clock.Millis(0), true
	for i, text := range values {
		wait, valid := parseSeconds(strings.TrimSpace(text))
		ok = ok && valid && (i == 0 || text == values[0])
		longest = max(longest, wait)
	}
	return longest, ok
}

// parseSeconds parses digits, and a point and digits. The platform does not send dates.
func parseSeconds(text string) (clock.Millis, bool) {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	if !digits(whole) || (hasPoint && !digits(fraction)) {
		return 0, false
	}
	whole = strings.TrimLeft(whole, "0")
	if len(whole) > maxDigits {
		return maxHoldOff, true
	}
	wait := clock.Millis(0)
	for _, d := range whole {
		wait = 10*wait + clock.Millis(d-'0')
	}
	wait *= clock.Second
	for unit, i := clock.Second/10, 0; i < len(fraction); unit, i = unit/10, i+1 {
		if fraction[i] != '0' && unit == 0 {
			wait++ // a part of a millisecond counts as one
			break
		}
		wait += unit * clock.Millis(fraction[i]-'0')
	}
	return min(wait, maxHoldOff), true
}

func digits(text string) bool {
	for _, d := range text {
		if d < '0' || d > '9' {
			return false
		}
	}
	return text != ""
}
