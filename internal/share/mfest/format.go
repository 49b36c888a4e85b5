package mfest

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Format returns a manifest as a file that Parse reads, with the Base that a
// push of a changed copy needs.
func Format(m Manifest, base int64) ([]byte, error) {
	file := struct {
		Base int64
		Manifest
	}{Base: base, Manifest: m}
	text, err := json.MarshalIndent(file, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "writing a manifest")
}
