package origin

import (
	"io"
	"net"

	"siskinsaddle/internal/fakes/spoil"
)

// spoiledConn is a connection on which an answer is written and broken in one of its writes.
type spoiledConn struct {
	net.Conn
	behavior Behavior
	writes   int
}

// malformedChunkAt is the write of MalformedChunk that is broken, counted from that of the
// header.
const malformedChunkAt = Events / 2

func (s *spoiledConn) Write(p []byte) (int, error) {
	text, goesOn := p, true
	if kind, ok := spoiledHeaders[s.behavior]; ok && s.writes == 0 {
		text, goesOn = kind.Response(p)
	}
	if s.behavior == MalformedChunk && s.writes == malformedChunkAt {
		text = append([]byte("size"), p...)
	}
	s.writes++
	if _, err := s.Conn.Write(text); err != nil {
		return 0, err
	}
	if !goesOn {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

var spoiledHeaders = map[Behavior]spoil.Kind{
	ZeroStatus:    spoil.ZeroStatus,
	BlankInName:   spoil.BlankInName,
	ControlInName: spoil.ControlInName,
	FoldedLine:    spoil.FoldedLine,
	CutHeader:     spoil.CutHeader,
}
