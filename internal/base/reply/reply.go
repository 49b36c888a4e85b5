// Package reply decides which bytes of a server are responses of HTTP/1.1. All readers of
// responses use it, whatever library parses them afterwards: clients of backend servers, of
// the platform's stores and of other hosts' operator interfaces.
//
// A connection is held to this grammar of RFC 9110 and RFC 9112, with its line ends in CR LF:
//
//	response     = *( interim ) final
//	status line  = "HTTP/1." ( "0" / "1" ) SP status SP *( HTAB / SP / VCHAR / obs-text )
//	field line   = token ":" *( HTAB / SP / VCHAR / obs-text )
//	chunk        = 1*HEXDIG *( ";" token [ "=" ( token / quoted-string ) ] ) CRLF data CRLF
//	trailer      = *( field line CRLF ) CRLF
//
// and to what the RFCs demand of the sender beyond it: a status of 100 to 599 and not 101, as
// no request asks for an upgrade; at most one Content-Length, a number; at most one
// Transfer-Encoding, chunked, not beside a Content-Length and not in HTTP/1.0; and in
// responses with the status 1xx or 204 no Transfer-Encoding and no Content-Length above 0.
//
// The check is stricter than the RFCs ask of recipients in three places, since servers must
// not send these and parsers differ on them: folded field lines, lines that end in LF only,
// and blanks that the grammar does not have (before ":", around ";" of a chunk, none after a
// status without a reason).
//
// # Usage
//
//	faults := &reply.Faults{Log: logger, Count: counters}
//	client := &fasthttp.Client{Dial: func(address string) (net.Conn, error) {
//		return reply.Dial(address, timeout, faults)
//	}}
package reply

import (
	"bytes"
	"strconv"
)

// Fault is what is wrong with a response.
type Fault string

// The faults.
const (
	// FaultStatusLine is a first line that is no status line of HTTP/1.0 or HTTP/1.1.
	FaultStatusLine Fault = "StatusLine"
	// FaultStatus is a status below 100 or above 599, or 101.
	FaultStatus Fault = "Status"
	// FaultFieldName is a field whose name is no token, also one that a folded line begins.
	FaultFieldName Fault = "FieldName"
	// FaultFieldValue is a field whose value holds a control character.
	FaultFieldValue Fault = "FieldValue"
	// FaultLineEnd is a line that ends in a lone CR or LF.
	FaultLineEnd Fault = "LineEnd"
	// FaultLength is a Content-Length that is no number, repeated, or not allowed.
	FaultLength Fault = "Length"
	// FaultCoding is a Transfer-Encoding that is not chunked, repeated, or not allowed.
	FaultCoding Fault = "Coding"
	// FaultChunk is a chunk with a malformed size, extension or end.
	FaultChunk Fault = "Chunk"
	// FaultCutHeader and FaultCutBody are the end of the connection within a response.
	FaultCutHeader Fault = "CutHeader"
	FaultCutBody   Fault = "CutBody"
	// FaultUnreadable is anything else that the parser of a response rejects.
	FaultUnreadable Fault = "Unreadable"
)

// BrokenError is the error of a read from a connection with a fault.
type BrokenError struct{ Fault Fault }

func (e *BrokenError) Error() string { return "the server's response is broken: " + string(e.Fault) }

type state uint8

const (
	// stateStart is that before each response.
	stateStart state = iota
	stateVersion
	stateStatus
	stateReason
	stateLineEnd
	stateFieldStart
	stateFieldName
	stateFieldValue
	stateHeaderEnd
	stateLengthBody
	stateBodyToClose
	stateChunkSize
	stateExtensionStart
	stateExtensionName
	stateExtensionValueStart
	stateExtensionValue
	stateQuoted
	stateQuotedPair
	stateExtensionEnd
	stateChunkSizeEnd
	stateChunkData
	stateChunkDataEnd
	stateChunkEnd
	stateFailed
)

const (
	versionPrefix = "HTTP/1."
	// statusBytes is the length of the status with the minor version and the blanks around it.
	statusBytes = len("0 200 ")
	// maxFramingValue exceeds the longest value of a framing field that is accepted.
	maxFramingValue = 32
	// maxChunkDigits is the number of digits of the largest size that fits an int.
	maxChunkDigits = strconv.IntSize/4 - 1
)

// framingField is a field that tells where the body ends.
type framingField uint8

const (
	fieldOther framingField = iota
	fieldLength
	fieldCoding
)

// checker checks the bytes of one connection in the order in which they arrive, in pieces of
// any size. The zero value expects a response.
type checker struct {
	// noBodies is set if the request is HEAD, whose response has no body.
	noBodies bool
	state    state
	// at counts the bytes of versionPrefix, of the status, or the digits of a chunk's size.
	at int
	// http10 is set for HTTP/1.0, status is the status read so far.
	http10 bool
	status int
	// field is the one that is being read. name holds the first bytes of its name, and value
	// its value if it frames the body.
	field     framingField
	name      [len("transfer-encoding")]byte
	nameBytes int
	value     [maxFramingValue]byte
	valueSize int
	// length is the Content-Length, -1 for none; chunked is set for a chunked body.
	length  int64
	chunked bool
	// inTrailer is set while the fields after the last chunk are read.
	inTrailer bool
	// left is the number of bytes left of the body or the chunk.
	left  int64
	fault Fault
}

// complete reports whether the last byte ended a final response, or there was none.
func (c *checker) complete() bool {
	interim := c.status > 0 && c.status < 200
	return c.state == stateStart && !interim
}

// end checks the end of the connection. An orderly one completes a body without a length, a
// reset completes nothing.
func (c *checker) end(reset bool) {
	switch {
	case c.state == stateFailed, c.complete(), c.state == stateBodyToClose && !reset:
	case c.state < stateLengthBody && !c.inTrailer:
		c.fail(FaultCutHeader)
	default:
		c.fail(FaultCutBody)
	}
}

// check checks the next bytes and returns how many come before a fault.
func (c *checker) check(p []byte) int {
	for i := 0; i < len(p); i++ {
		if i += c.skip(p[i:]); i == len(p) {
			break
		}
		if fault := steps[c.state](c, p[i]); fault != "" {
			c.fail(fault)
			return i
		}
	}
	return len(p)
}

func (c *checker) fail(fault Fault) { c.state, c.fault = stateFailed, fault }

// skip passes over bytes that do not change the state, and returns their number.
func (c *checker) skip(p []byte) int {
	switch c.state {
	case stateBodyToClose:
		return len(p)
	case stateLengthBody, stateChunkData:
		n := int(min(c.left, int64(len(p))))
		c.left -= int64(n)
		if c.left == 0 {
			c.endData()
		}
		return n
	case stateFieldValue:
		if c.field == fieldOther {
			return leading(p, textByte)
		}
	case stateReason:
		return leading(p, textByte)
	}
	return 0
}

// endData ends the data of a body or of a chunk.
func (c *checker) endData() {
	if c.state == stateLengthBody {
		c.state = stateStart
	} else {
		c.state = stateChunkDataEnd
	}
}

// leading returns the number of leading bytes of a class.
func leading(p []byte, class byteClass) int {
	for i, b := range p {
		if classes[b]&class == 0 {
			return i
		}
	}
	return len(p)
}

// steps check one byte in each state. The states without one are passed over by skip.
var steps [stateFailed + 1]func(c *checker, b byte) Fault

func init() {
	steps = [...]func(c *checker, b byte) Fault{
		stateStart:               (*checker).start,
		stateVersion:             (*checker).version,
		stateStatus:              (*checker).statusCode,
		stateReason:              (*checker).reasonEnd,
		stateLineEnd:             (*checker).lineEnd,
		stateFieldStart:          (*checker).fieldStart,
		stateFieldName:           (*checker).fieldName,
		stateFieldValue:          (*checker).fieldValue,
		stateHeaderEnd:           (*checker).headerEnd,
		stateChunkSize:           (*checker).chunkSize,
		stateExtensionStart:      (*checker).extensionStart,
		stateExtensionName:       (*checker).extensionName,
		stateExtensionValueStart: (*checker).extensionValueStart,
		stateExtensionValue:      (*checker).extensionValue,
		stateQuoted:              (*checker).quoted,
		stateQuotedPair:          (*checker).quotedPair,
		stateExtensionEnd:        (*checker).extensionEnd,
		stateChunkSizeEnd:        (*checker).chunkSizeEnd,
		stateChunkDataEnd:        (*checker).chunkDataEnd,
		stateChunkEnd:            (*checker).chunkEnd,
		stateFailed:              func(c *checker, _ byte) Fault { return c.fault },
	}
}

func (c *checker) start(b byte) Fault {
	c.at, c.status, c.length = 0, 0, -1
	c.http10, c.chunked, c.inTrailer = false, false, false
	c.state = stateVersion
	return c.version(b)
}

func (c *checker) version(b byte) Fault {
	if b != versionPrefix[c.at] {
		return FaultStatusLine
	}
	if c.at++; c.at == len(versionPrefix) {
		c.at, c.state = 0, stateStatus
	}
	return ""
}

// statusCode checks the minor version and the status, each with the blank after it.
func (c *checker) statusCode(b byte) Fault {
	switch c.at {
	case 0:
		if b != '0' && b != '1' {
			return FaultStatusLine
		}
		c.http10 = b == '0'
	case 1, statusBytes - 1:
		if b != ' ' {
			return FaultStatusLine
		}
	default:
		if b < '0' || b > '9' {
			return FaultStatusLine
		}
		c.status = c.status*10 + int(b-'0')
	}
	if c.at++; c.at < statusBytes {
		return ""
	}
	c.state = stateReason
	if c.status < 100 || c.status > 599 || c.status == 101 {
		return FaultStatus
	}
	return ""
}

func (c *checker) reasonEnd(b byte) Fault {
	switch b {
	case '\r':
		c.state = stateLineEnd
		return ""
	case '\n':
		return FaultLineEnd
	}
	return FaultStatusLine
}

func (c *checker) lineEnd(b byte) Fault {
	if b != '\n' {
		return FaultLineEnd
	}
	c.state = stateFieldStart
	return ""
}

func (c *checker) fieldStart(b byte) Fault {
	switch {
	case b == '\r':
		c.state = stateHeaderEnd
		return ""
	case b == '\n':
		return FaultLineEnd
	case classes[b]&tokenByte == 0:
		return FaultFieldName
	}
	c.nameBytes, c.valueSize, c.state = 0, 0, stateFieldName
	return c.fieldName(b)
}

func (c *checker) fieldName(b byte) Fault {
	switch {
	case b == ':':
		c.field, c.state = c.namedField(), stateFieldValue
		return ""
	case classes[b]&tokenByte == 0:
		return FaultFieldName
	}
	if c.nameBytes < len(c.name) {
		c.name[c.nameBytes] = b
	}
	c.nameBytes++
	return ""
}

// namedField returns which field has the name that was read. Those of a trailer frame nothing.
func (c *checker) namedField() framingField {
	switch {
	case c.inTrailer:
	case c.nameBytes == len("Content-Length") && bytes.EqualFold(c.name[:c.nameBytes], []byte("Content-Length")):
		return fieldLength
	case c.nameBytes == len("Transfer-Encoding") && bytes.EqualFold(c.name[:], []byte("Transfer-Encoding")):
		return fieldCoding
	}
	return fieldOther
}

func (c *checker) fieldValue(b byte) Fault {
	switch {
	case b == '\r':
		c.state = stateLineEnd
		return c.frame(bytes.Trim(c.value[:c.valueSize], " \t"))
	case b == '\n':
		return FaultLineEnd
	case classes[b]&textByte == 0:
		return FaultFieldValue
	case c.valueSize == 0 && (b == ' ' || b == '\t'):
		return ""
	case c.valueSize == len(c.value):
		return c.frame(nil)
	}
	c.value[c.valueSize] = b
	c.valueSize++
	return ""
}

// frame checks and keeps the value of a framing field.
func (c *checker) frame(value []byte) Fault {
	switch c.field {
	case fieldLength:
		n, err := strconv.ParseUint(string(value), 10, strconv.IntSize-1)
		if err != nil || c.length >= 0 {
			return FaultLength
		}
		c.length = int64(n)
	case fieldCoding:
		if c.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return FaultCoding
		}
		c.chunked = true
	}
	return ""
}

// headerEnd ends the header or the trailer.
func (c *checker) headerEnd(b byte) Fault {
	if b != '\n' {
		return FaultLineEnd
	}
	if c.inTrailer {
		c.state = stateStart
		return ""
	}
	if fault := c.checkFraming(); fault != "" {
		return fault
	}
	c.state = c.bodyState()
	return ""
}

// checkFraming returns the fault of a header whose framing fields are not allowed together.
func (c *checker) checkFraming() Fault {
	bodyless := c.status < 200 || c.status == 204
	switch {
	case c.chunked && (bodyless || c.http10 || c.length >= 0):
		return FaultCoding
	case c.length > 0 && bodyless:
		return FaultLength
	}
	return ""
}

// bodyState returns the state in which the body begins, or stateStart if there is none.
func (c *checker) bodyState() state {
	switch {
	case c.noBodies, c.status < 200, c.status == 204, c.status == 304, c.length == 0:
		return stateStart
	case c.chunked:
		c.at, c.left = 0, 0
		return stateChunkSize
	case c.length > 0:
		c.left = c.length
		return stateLengthBody
	}
	return stateBodyToClose
}
