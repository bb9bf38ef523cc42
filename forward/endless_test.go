package forward

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each read of an event without end copied all that had arrived before.
func TestEventWithoutEndIsNotCopiedAtEachRead(t *testing.T) {
	for name, size := range map[string]int{"trickle": 64, "reads": relayBufferBytes} {
		t.Run(name, func(t *testing.T) {
			piece := bytes.Repeat([]byte("x"), size)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var e EventParser
			_, err := e.Feed([]byte("data: "))
			for err == nil {
				_, err = e.Feed(piece)
			}
			runtime.ReadMemStats(&after)
			require.ErrorIs(t, err, errEventTooLarge)
			// A buffer that grows by half at a time allocates three times its size in all.
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(6*maxPartialEventBytes))
		})
	}
}

// A parser that looks for the end of an event in new bytes only must find one that began before.
func TestEventEndIsFoundWhereverItIsSplit(t *testing.T) {
	const event = "id: 1\r\ndata: a\r\n\r\n"
	for first := range len(event) {
		for second := first; second < len(event); second++ {
			var e EventParser
			var out []byte
			for _, p := range []string{event[:first], event[first:second], event[second:], "id: 2\ndata: b\n\nid"} {
				complete, err := e.Feed([]byte(p))
				require.NoError(t, err)
				out = append(out, complete...)
			}
			require.Equal(t, event+"id: 2\ndata: b\n\n", string(out))
			require.Equal(t, "id", string(e.Remainder()))
		}
	}
}

func TestLargeEventLeavesNoLargeBuffer(t *testing.T) {
	var e EventParser
	large := append(append([]byte("id: 1\ndata: "), bytes.Repeat([]byte("x"), maxPartialEventBytes/2)...), "\n\n"...)
	complete, err := e.Feed(large)
	require.NoError(t, err)
	require.Equal(t, large, complete)
	_, err = e.Feed([]byte("id: 2\n"))
	require.NoError(t, err)
	require.LessOrEqual(t, cap(e.buf), maxKeptBytes)
}
