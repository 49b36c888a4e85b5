package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"

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

// Decode decodes a value that Encode encoded. Bytes behind it are an error.
func Decode(body []byte, value any) error {
	r := bytes.NewReader(body)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	if err := d.Decode(value); err != nil {
		return errors.Wrap(err, "decode message")
	}
	if r.Len() > 0 {
		return errors.Newf("decode message: %d bytes behind the value", r.Len())
	}
	return nil
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

// readReply reads one frame that answers a call or a ping.
func readReply(r *bufio.Reader, limit int) (frame, int, error) {
	var f frame
	length, err := readFrame(r, limit, &f)
	if err != nil {
		return f, length, err
	}
	switch f.Type {
	case frameReply, frameFailed, framePong:
		return f, length, nil
	}
	return f, length, errors.Newf("frame of type %q instead of a reply", f.Type)
}

// connectionEnded reports whether the error of a read is the end of the connection, as opposed
// to bytes that are no frame.
func connectionEnded(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
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
