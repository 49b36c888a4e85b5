package mfest

import (
	_ "embed" // for the default manifest

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/diag"
)

//go:embed default.manifest.hujson
var defaultText []byte

// DefaultFileName is the name reported for findings in the default manifest.
const DefaultFileName = "default.manifest.hujson"

// DefaultText returns the text of the default manifest, which also serves as
// an example.
func DefaultText() []byte {
	return append([]byte(nil), defaultText...)
}

// Default returns the manifest that `serve --embedded` starts with. It panics if
// that manifest is invalid.
func Default() Manifest {
	m, list := Parse(DefaultFileName, defaultText)
	if err := list.Err(); err != nil {
		panic(err)
	}
	return m
}

// Parse reads a manifest, validates the whole of it and fills in the defaults. If
// there is any finding, the returned Manifest is empty.
func Parse(file string, text []byte) (Manifest, diag.List) {
	var m Manifest
	index, list := diag.Decode(file, text, &m)
	if len(index.Positions) > 0 {
		list = check(m, index, list)
	}
	if !list.Empty() {
		return Manifest{}, list
	}
	return sortUnordered(withDefaults(m)), list
}

// Defaults for fields that a manifest leaves out.
const (
	defaultSlotsPerServer               = 8
	defaultLongTokens                   = 1_024
	defaultLongShare                    = 0.5
	defaultFloorPeriod     clock.Millis = 2 * clock.Second
	defaultMaxWait         clock.Millis = 30 * clock.Second
	defaultMaxWaiting                   = 1_000
	defaultWeight                       = 1
	defaultMaxOpen                      = 64
	defaultMaxHeaderBytes               = 16 * 1_024
	defaultMaxBodyBytes                 = 4 * 1_024 * 1_024
	defaultMaxOpenRequests              = 4_096
	defaultClaimKeep       clock.Millis = 24 * clock.Hour
	defaultRetryShare                   = 0.1
)

func withDefaults(m Manifest) Manifest {
	for i := range m.Services {
		s := &m.Services[i]
		orDefault(&s.SlotsPerServer, defaultSlotsPerServer)
		if s.Kind == KindModel {
			orDefault(&s.LongTokens, defaultLongTokens)
			orDefault(&s.LongShare, defaultLongShare)
		}
	}
	for i := range m.Classes {
		c := &m.Classes[i]
		orDefault(&c.FloorPeriodMilliseconds, defaultFloorPeriod)
		orDefault(&c.MaxWaitMilliseconds, defaultMaxWait)
		orDefault(&c.MaxWaiting, defaultMaxWaiting)
	}
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		orDefault(&w.Weight, defaultWeight)
		orDefault(&w.MaxOpen, defaultMaxOpen)
		orDefault(&w.DefaultClass, w.Classes[0])
	}
	l := &m.Limits
	orDefault(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	orDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&l.MaxOpenRequests, defaultMaxOpenRequests)
	orDefault(&l.ClaimKeepMilliseconds, defaultClaimKeep)
	orDefault(&l.RetryShare, defaultRetryShare)
	return m
}

// orDefault sets a field that the file leaves out or sets to zero.
func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
