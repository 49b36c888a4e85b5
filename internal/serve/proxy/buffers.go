package proxy

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// defaultMaxBuffered is the limit for all buffered responses without a limit of the
// host's settings, in bytes.
const defaultMaxBuffered = 64 << 20

// firstBufferBytes is the initial size of the buffer of a response, which is never
// refused.
const firstBufferBytes = 4 << 10

// errTooLong ends the reading of a response that is longer than its share of the memory.
var errTooLong = errors.New("the response is too long to be buffered")

// buffers bounds the memory of the responses that are read whole before they are
// forwarded, and of long events of streams. It is made for servers in trouble that send
// without end to many requests at a time. A response may take as much as all of them leave
// free: a single one can be long, and the more long ones there are, the earlier they end.
type buffers struct {
	limit atomic.Int64
	used  atomic.Int64
}

func (b *buffers) setLimit(bytes int64) {
	if bytes <= 0 {
		bytes = defaultMaxBuffered
	}
	b.limit.Store(bytes)
}

// grow reserves memory for a response that grows from held to size bytes. It reports
// whether there is enough.
func (b *buffers) grow(held, size int) bool {
	for {
		used := b.used.Load()
		if held > 0 && int64(size) > b.limit.Load()-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(size-held)) {
			return true
		}
	}
}

func (b *buffers) release(n int) { b.used.Add(-int64(n)) }

// readAll reads a response of at most limit bytes. It returns the number of reserved
// bytes too, which the caller has to release; after an error there are none.
func (b *buffers) readAll(r io.Reader, limit int) (body []byte, held int, err error) {
	defer func() {
		if err != nil {
			b.release(held)
			body, held = nil, 0
		}
	}()
	for {
		if len(body) == cap(body) {
			// One byte more than the limit shows that the response is too long.
			size := min(max(2*cap(body), firstBufferBytes), limit+1)
			if len(body) > limit || !b.grow(held, size) {
				return body, held, errTooLong
			}
			held = size
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return body, held, errTooLong
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil:
			return body, held, err
		}
	}
}
