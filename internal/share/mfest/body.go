package mfest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxBodyBytes is the maximum size of a decompressed body.
const maxBodyBytes = 64 * 1_024 * 1_024

// Body is the canonical form of a manifest, compressed for storage and
// distribution.
type Body struct {
	// Hash is the SHA-256 of the canonical form in hexadecimal. Files that
	// differ only in order, spacing, comments or Base have the same hash.
	Hash string
	// Packed is the compressed canonical form.
	Packed []byte
}

// codec holds the compressor and decompressor, which are safe for concurrent
// EncodeAll and DecodeAll.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

var sharedCodec = sync.OnceValues(func() (codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return codec{}, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
	return codec{encoder: encoder, decoder: decoder}, err
})

// Pack returns the body of a manifest that Parse has returned.
func Pack(m Manifest) (Body, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return Body{}, errors.Wrap(err, "encoding the manifest's canonical form")
	}
	c, err := sharedCodec()
	if err != nil {
		return Body{}, errors.Wrap(err, "starting the compressor")
	}
	return Body{Hash: hashText(text), Packed: c.encoder.EncodeAll(text, nil)}, nil
}

// Unpack returns the manifest of a packed body. It fails if the canonical form
// has a different hash, or a field unknown to this program, which could not apply
// it.
func Unpack(packed []byte, hash string) (Manifest, error) {
	c, err := sharedCodec()
	if err != nil {
		return Manifest{}, errors.Wrap(err, "starting the decompressor")
	}
	text, err := c.decoder.DecodeAll(packed, nil)
	if err != nil {
		return Manifest{}, errors.Wrap(err, "decompressing a manifest")
	}
	if found := hashText(text); found != hash {
		return Manifest{}, errors.Newf("manifest has hash %s, want %s", found, hash)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var m Manifest
	if err := decoder.Decode(&m); err != nil {
		return Manifest{}, errors.Wrap(err, "decoding a manifest's canonical form")
	}
	return m, nil
}

func hashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// sortUnordered sorts every list whose order has no meaning, so that files that
// differ only in such an order have the same hash.
func sortUnordered(m Manifest) Manifest {
	sortBy(m.FailureDomains, func(d FailureDomain) string { return d.Name })
	sortBy(m.Services, func(s Service) string { return s.Name })
	sortBy(m.Classes, func(c Class) string { return c.Name })
	sortBy(m.Workspaces, func(w Workspace) string { return w.Name })
	for i := range m.Services {
		s := &m.Services[i]
		sortBy(s.Models, func(m Model) string { return m.Name })
		sortBy(s.NotRepeatable, func(c Call) string { return c.Path + " " + c.Method })
		for j := range s.Models {
			slices.Sort(s.Models[j].Adapters)
		}
	}
	for i := range m.Workspaces {
		slices.Sort(m.Workspaces[i].KeyHashes)
		slices.Sort(m.Workspaces[i].Classes)
	}
	return m
}

func sortBy[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(key(a), key(b)) })
}
