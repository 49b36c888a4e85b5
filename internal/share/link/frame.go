package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const frameHeaderBytes = 4

// frameType is the type of a frame, a single letter to keep frames short.
type frameType string

const (
	frameSend   frameType = "S"
	frameCall   frameType = "C"
	frameReply  frameType = "R"
	frameFailed frameType = "F"
	framePing   frameType = "P"
	framePong   frameType = "Q"
)

// frame is the unit sent after the handshake. ID matches a reply to its call.
type frame struct {
	Type frameType
	ID   uint64
	Kind string
	Body []byte
}

// Encode encodes a value as msgpack, with structs as arrays of their fields.
func Encode(value any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	if err := e.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return b.Bytes(), nil
}

// Decode decodes a value that Encode encoded.
func Decode(body []byte, value any) error {
	return errors.Wrap(msgpack.Unmarshal(body, value), "decode message")
}

// writeFrame writes a frame into w without flushing it and returns its length
// in bytes.
func writeFrame(w *bufio.Writer, value any) (int, error) {
	body, err := Encode(value)
	if err != nil {
		return 0, err
	}
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := w.Write(header[:]); err != nil {
		return 0, err
	}
	_, err = w.Write(body)
	return frameHeaderBytes + len(body), err
}

// readFrame reads one frame of at most limit bytes and returns its length.
func readFrame(r *bufio.Reader, limit int, value any) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > limit {
		return 0, errors.Wrapf(ErrTooLarge, "frame of %d bytes, limit %d", length, limit)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	return frameHeaderBytes + length, Decode(body, value)
}
