package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
)

// bytesConn is a connection on which a text arrives.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func quietBudget(limit int64) *intake.Budget {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return intake.NewBudget(limit, clockwork.NewFakeClock(), logrus.NewEntry(log))
}

func TestMessagesOfAllSizesAreReadWhole(t *testing.T) {
	var text bytes.Buffer
	enc := gob.NewEncoder(&text)
	sizes := []int{0, 1, 100, 127, 128, 255, 256, smallMessageBytes, smallMessageBytes + 1, 1 << 20}
	for _, size := range sizes {
		require.NoError(t, enc.Encode(bytes.Repeat([]byte{'a'}, size)))
	}
	budget := quietBudget(4 << 20)
	m := newMessageReader(&bytesConn{Reader: &text}, budget)
	dec := gob.NewDecoder(m)
	for _, size := range sizes {
		var got []byte
		require.NoError(t, dec.Decode(&got))
		require.Len(t, got, size)
	}
	require.Greater(t, budget.Counts().Used, int64(1<<20))
	m.end()
	require.Zero(t, budget.Counts().Used)
}

// A message that named up to 1 GB was read for as long as bytes arrived.
func TestMessageIsRefusedByItsLength(t *testing.T) {
	for _, row := range []struct {
		name   string
		text   []byte
		budget *intake.Budget
		err    error
	}{
		{"more than any message has", []byte{0xfc, 0x18, 0, 0, 0}, nil, errMessageTooLarge},
		{"the longest length", append([]byte{0xf8}, bytes.Repeat([]byte{0xff}, 8)...), nil, errMessageTooLarge},
		{"more than there is memory for", []byte{0xfd, 0x10, 0, 0}, quietBudget(1 << 20), intake.ErrFull},
		{"cut off in its length", []byte{0xfd, 0x10}, nil, io.ErrUnexpectedEOF},
	} {
		t.Run(row.name, func(t *testing.T) {
			var got []byte
			errtest.Is(t, gob.NewDecoder(newMessageReader(&bytesConn{Reader: bytes.NewReader(row.text)}, row.budget)).Decode(&got), row.err)
		})
	}
	var got []byte
	require.Error(t, gob.NewDecoder(newMessageReader(&bytesConn{Reader: bytes.NewReader([]byte{0x80, 1, 2})}, nil)).Decode(&got), "a length of 128 bytes")
}
