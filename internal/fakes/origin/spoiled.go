package origin

import (
	"bytes"
	"io"
	"net"
)

// spoiledConn is a connection on which an answer is written. spoil changes the text of each
// write, numbered from 0, and returns false if the connection ends after it.
type spoiledConn struct {
	net.Conn
	spoil  func(write int, text []byte) ([]byte, bool)
	writes int
}

func (s *spoiledConn) Write(p []byte) (int, error) {
	text, goesOn := s.spoil(s.writes, p)
	s.writes++
	if _, err := s.Conn.Write(text); err != nil {
		return 0, err
	}
	if !goesOn {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

// spoiledAnswers spoil the right answer, whose first write has its whole header.
var spoiledAnswers = map[Behavior]func(write int, text []byte) ([]byte, bool){
	ZeroStatus:    inHeader(" 200 ", " 000 "),
	BlankInName:   inHeader("\r\n", "\r\nX Note: odd\r\n"),
	ControlInName: inHeader("\r\n", "\r\nX\x01Note: odd\r\n"),
	CutHeader: func(_ int, text []byte) ([]byte, bool) {
		return text[:bytes.Index(text, []byte("\r\n\r\n"))/2], false
	},
	MalformedChunk: func(write int, text []byte) ([]byte, bool) {
		if write == Events/2 {
			return append([]byte("size"), text...), true
		}
		return text, true
	},
}

// inHeader replaces the first occurrence of a text in the header.
func inHeader(old, replacement string) func(write int, text []byte) ([]byte, bool) {
	return func(write int, text []byte) ([]byte, bool) {
		if write == 0 {
			text = bytes.Replace(text, []byte(old), []byte(replacement), 1)
		}
		return text, true
	}
}
