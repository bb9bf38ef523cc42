package peer

import (
	"bufio"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/intake"
)

const (
	// maxMessageBytes bounds a message of a request: gob itself would read up to 1 GB of one.
	maxMessageBytes = 64 << 20
	// smallMessageBytes is the size up to which messages don't count against the budget.
	smallMessageBytes = 64 << 10
	// maxOneByteUint is the largest number that gob encodes as one byte. Others follow the
	// negated number of their bytes.
	maxOneByteUint = 0x7f
	maxUintBytes   = 8
)

var errMessageTooLarge = errors.New("message of a peer is too large")

// messageReader passes on gob messages whose lengths it has checked. The bytes of large messages
// count against a budget from when their length is known.
type messageReader struct {
	r    *bufio.Reader
	hold *intake.Hold
	// head is what is to be passed on of the encoded length of the present message, rest the
	// number of its bytes that follow, and counted how many of it count.
	head          []byte
	rest, counted int64
}

func newMessageReader(conn net.Conn, budget *intake.Budget) *messageReader {
	return &messageReader{r: bufio.NewReader(conn), hold: budget.Begin(func() { go func() { _ = conn.Close() }() })}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.rest == 0 && len(m.head) == 0 {
		if err := m.next(); err != nil {
			return 0, err
		}
	}
	if len(m.head) > 0 {
		n := copy(p, m.head)
		m.head = m.head[n:]
		return n, nil
	}
	n, err := m.r.Read(p[:min(int64(len(p)), m.rest)])
	m.rest -= int64(n)
	m.hold.Progress()
	return n, err
}

// ReadByte implements io.ByteReader, so that gob adds no buffer.
func (m *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(m, b[:])
	return b[0], err
}

// next reads the length of the next message.
func (m *messageReader) next() error {
	m.hold.Shrink(m.counted)
	m.counted = 0
	first, err := m.r.ReadByte()
	if err != nil {
		return err
	}
	m.head, m.rest = []byte{first}, int64(first)
	if first > maxOneByteUint {
		bytes := -int(int8(first))
		if bytes > maxUintBytes {
			return errors.Newf("message of a peer has a length of %d bytes", bytes)
		}
		length := make([]byte, bytes)
		if _, err := io.ReadFull(m.r, length); err != nil {
			return err
		}
		m.head = append(m.head, length...)
		m.rest = 0
		for _, b := range length {
			if m.rest > maxMessageBytes {
				break
			}
			m.rest = m.rest<<8 | int64(b)
		}
	}
	if m.rest > maxMessageBytes {
		return errors.Mark(errors.Newf("message of a peer has more than %d bytes", int64(maxMessageBytes)), errMessageTooLarge)
	}
	if m.rest > smallMessageBytes {
		if err := m.hold.Grow(m.rest); err != nil {
			return err
		}
		m.counted = m.rest
	}
	return nil
}

// end counts nothing of the messages any more.
func (m *messageReader) end() { m.hold.End() }
