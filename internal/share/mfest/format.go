package mfest

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Format returns a manifest as a file that Parse accepts, with the Base needed to
// push an edited copy.
func Format(m Manifest, base int64) ([]byte, error) {
	file := struct {
		Base int64
		Manifest
	}{Base: base, Manifest: m}
	text, err := json.MarshalIndent(file, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "encoding a manifest")
}
