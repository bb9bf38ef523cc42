package online

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzEventScanner checks that the same events pass however a stream is split
// into reads: complete events only, and none after the end marker.
func FuzzEventScanner(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"x\"}\r\n\r\ndata: [DONE]\r\n\r\ndata: late\n\n",
		": ping\n\nevent: error\ndata: {}\n\n", "data:[DONE]\n\n", "\n\n\n", "data: [DONE]", "data: {\"id\":\"01ARZ3NDEKTSV4RRFFQ69G5FAV\"}\n\n",
		"data: {\"error\":{}}\n\n", "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"\"}}]}\n\n", "data: {\"text\":\"\\\n\n",
	} {
		f.Add([]byte(seed), 0)
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		unsplit, state, delivered := scanAll(stream, len(stream)+1)
		split, splitState, splitDelivered := scanAll(stream, 1+(size&0xff))
		require.Equal(t, delivered, splitDelivered)
		require.Equal(t, state, splitState)
		require.Equal(t, string(unsplit), string(split))
		require.True(t, bytes.HasPrefix(stream, unsplit))
		if len(unsplit) > 0 {
			require.True(t, strings.HasSuffix(strings.ReplaceAll(string(unsplit), "\r\n", "\n"), "\n"))
		}
	})
}

// scanAll feeds a stream to a scanner in reads of the given size.
func scanAll(stream []byte, size int) ([]byte, streamState, transcript) {
	var delivered transcript
	s := &eventScanner{requestID: "r", delivered: &delivered}
	var passed, buffered []byte
	for len(stream) > 0 {
		n := min(size, len(stream))
		buffered = append(buffered, stream[:n]...)
		stream = stream[n:]
		complete, state := s.scan(buffered)
		passed = append(passed, buffered[:complete]...)
		buffered = bytes.Clone(buffered[complete:])
		if state != streamOpen {
			return passed, state, delivered
		}
	}
	return passed, streamOpen, delivered
}

func TestResponseWithToolCallsCannotBeResumed(t *testing.T) {
	rows := map[string]bool{
		`{"choices":[{"delta":{"content":"b"}}]}`:                             true,
		`{"choices":[{"delta":{"content":""}}]}`:                              true,
		`{"choices":[{"delta":{"content":"","tool_calls":[{"index":0}]}}]}`:   false,
		`{"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`:                false,
		`{"choices":[{"delta":{"content":null,"tool_calls":[{"index":0}]}}]}`: false,
		`{"choices":[{"delta":{"content":"","reasoning_content":"so"}}]}`:     false,
		// Events with a text as well.
		`{"choices":[{"delta":{"content":"b","tool_calls":[{"index":0}]}}]}`:               false,
		`{"choices":[{"delta":{"content":"b","reasoning_content":"so"}}]}`:                 false,
		`{"choices":[{"delta":{"content":"\n","tool_calls":[{"index":0}]}}]}`:              false,
		`{"choices":[{"delta":{"content":"b","tool_calls":[],"reasoning_content":null}}]}`: true,
		`{"choices":[{"delta":{"content":"say \"tool_calls\" or \"reasoning"}}]}`:          true,
	}
	for event, resumable := range rows {
		var delivered transcript
		delivered.add([]byte(`{"choices":[{"delta":{"content":"a"}}]}`))
		delivered.add([]byte(event))
		require.Equal(t, resumable, delivered.resumable(), event)
	}
}
