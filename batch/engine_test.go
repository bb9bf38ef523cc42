package batch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// runItem runs an item with the output of an earlier attempt on a replica that answers
// with h.
func runItem(t *testing.T, partial run.Partial, h http.HandlerFunc) outcome {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	client := upstream.NewClient(upstream.ClientOptions{DialTimeout: time.Second, IdleConns: 1})
	t.Cleanup(client.Close)
	r := itemRunner{client: client, guard: quarantine.Disabled{}}
	attempt := &run.Attempt{ID: "job-0-0-1-1", Partial: partial, Item: store.Item{
		CustomID: "i", Method: http.MethodPost, URL: upstream.PathCompletions, Body: []byte(`{"prompt":"p"}`),
	}}
	doc := &service.Document{Batch: service.Batch{Resume: true}}
	u := &service.Upstream{Name: "u", Address: strings.TrimPrefix(srv.URL, "http://")}
	return r.run(t.Context(), doc, u, attempt, func(*run.Attempt) bool { return true })
}

// answerOf returns a handler that sends a body with a content type and with the given value
// of the header that states where the answer goes on.
func answerOf(contentType, resumed, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		if resumed != "" {
			w.Header().Set(upstream.HeaderResumed, resumed)
		}
		_, _ = io.WriteString(w, body)
	}
}

// streamOf returns a complete stream with one event for each text.
func streamOf(texts ...string) string {
	var b strings.Builder
	for _, text := range texts {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	}
	return b.String() + "data: [DONE]\n\n"
}

// Guards against an output of which a part is there twice, or missing, because a replica
// did not go on where the earlier attempt ended.
func TestRestOfAnItemIsProven(t *testing.T) {
	partial := run.Partial{Text: "a b ", Tokens: 2}
	rows := map[string]struct {
		handler http.HandlerFunc
		want    string // empty: no result
	}{
		"rest":               {answerOf("text/event-stream", "2", streamOf("c ", "d")), "a b c d"},
		"from the beginning": {answerOf("text/event-stream", "", streamOf("a ", "b ", "c ", "d")), "a b c d"},
		"other rest":         {answerOf("text/event-stream", "3", streamOf("d")), ""},
		"rest as JSON":       {answerOf("application/json", "2", `{"choices":[{"text":"c d"}]}`), ""},
		"whole as JSON":      {answerOf("application/json", "", `{"choices":[{"text":"a b c d"}]}`), "a b c d"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			o := runItem(t, partial, row.handler)
			if row.want == "" {
				require.Nil(t, o.result)
				require.Error(t, o.err)
				require.False(t, o.replicaFailed)
				return
			}
			require.NoError(t, o.err)
			require.Equal(t, row.want, gjson.GetBytes(o.result.Response.Body, "choices.0.text").String())
		})
	}
}

// Guards against a result with a part of the output, of a stream that reports an error or is
// cut within an event.
func TestFailedStreamGivesNoResult(t *testing.T) {
	first := "data: {\"choices\":[{\"text\":\"a \"}]}\n\n"
	end := "\n\ndata: [DONE]\n\n"
	rows := map[string]struct {
		body string
		lost bool
	}{
		"cut between events":      {first, true},
		"cut within an event":     {first + `data: {"choices":[{"text":"b`, true},
		"goes on after a cut":     {first + `data: {"choices":[{"text":"b` + end, false},
		"error object":            {first + `data: {"error":{"message":"out of memory"}}` + end, false},
		"error event":             {first + "event: error\ndata: {}" + end, false},
		"error without a space":   {first + `data:{"error":{"message":"out of memory"}}` + end, false},
		"error without an object": {first + `data: {"error":"out of memory"}` + end, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			o := runItem(t, run.Partial{}, answerOf("text/event-stream", "", row.body))
			require.Nil(t, o.result)
			require.Error(t, o.err)
			require.Equal(t, run.Partial{Text: "a ", Tokens: 1}, o.partial)
			require.Equal(t, row.lost, o.replicaFailed)
		})
	}
}

// Guards against an output without the events of a replica that writes no space after the
// name of a field, or other fields than data.
func TestFieldsOfEventsAreRead(t *testing.T) {
	body := ": comment\n\nevent: message\ndata:{\"error\":null,\"choices\":[{\"text\":\"a\"}]}\n\ndata:\n\ndata:[DONE]\n\n"
	o := runItem(t, run.Partial{}, answerOf("text/event-stream", "", body))
	require.NoError(t, o.err)
	require.Equal(t, "a", gjson.GetBytes(o.result.Response.Body, "choices.0.text").String())
}

// Guards against an output of two runs: the text alone doesn't show where an answer with
// reasoning or tool calls goes on.
func TestAnswerWithOtherOutputIsNotResumed(t *testing.T) {
	rows := map[string]struct {
		event string
		want  run.Partial
	}{
		"text":           {`{"choices":[{"delta":{"content":"b","reasoning_content":null,"tool_calls":[]}}]}`, run.Partial{Text: "a b", Tokens: 2}},
		"reasoning":      {`{"choices":[{"delta":{"reasoning_content":"so"}}]}`, run.Partial{}},
		"reasoning, too": {`{"choices":[{"delta":{"content":"b","reasoning":"so"}}]}`, run.Partial{}},
		"tool calls":     {`{"choices":[{"delta":{"content":"","tool_calls":[{"index":0}]}}]}`, run.Partial{}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			o := runItem(t, run.Partial{Text: "a ", Tokens: 1}, answerOf("text/event-stream", "1", "data: "+row.event+"\n\n"))
			require.Nil(t, o.result)
			require.Equal(t, row.want, o.partial)
		})
	}
}
