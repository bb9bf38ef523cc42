package online

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// transcript is what the caller has received of a streamed response, from which
// another upstream can resume it.
type transcript struct {
	tokens int
	text   []byte
	// resumeDisabled means that the response can't be resumed from text and
	// tokens.
	resumeDisabled bool
}

func itoa(n int) string { return strconv.Itoa(n) }

var (
	contentField = []byte(`"content":"`)
	textField    = []byte(`"text":"`)
)

// add records the data of one event. A response with output other than text can't be
// resumed.
func (t *transcript) add(data []byte) {
	t.resumeDisabled = t.resumeDisabled || upstream.HasOtherOutput(data)
	if t.resumeDisabled {
		if hasText(data) {
			t.tokens++
		}
		return
	}
	i := bytes.Index(data, contentField)
	n := len(contentField)
	if i < 0 {
		i, n = bytes.Index(data, textField), len(textField)
	}
	if i < 0 {
		t.addParsed(data)
		return
	}
	rest := data[i+n:]
	end := bytes.IndexByte(rest, '"')
	if end <= 0 {
		t.addParsed(data)
		return
	}
	t.tokens++
	if bytes.IndexByte(rest[:end], '\\') < 0 {
		t.text = append(t.text, rest[:end]...)
		return
	}
	t.text = append(t.text, eventText(data)...)
}

func hasText(data []byte) bool {
	return bytes.Contains(data, contentField) || bytes.Contains(data, textField)
}

// addParsed records an event that holds no text field in the form in which
// engines usually write it. One that holds no text but another field of output
// can't be resumed.
func (t *transcript) addParsed(data []byte) {
	if text := eventText(data); text != "" {
		t.tokens++
		t.text = append(t.text, text...)
		return
	}
	t.resumeDisabled = upstream.HasOtherOutputField(data)
}

func eventText(data []byte) string {
	if c := gjson.GetBytes(data, "choices.0.delta.content"); c.Exists() {
		return c.String()
	}
	return gjson.GetBytes(data, "choices.0.text").String()
}

// disableResume marks the response as one that can't be resumed.
func (t *transcript) disableResume() { t.resumeDisabled = true }

// resumable reports whether an engine could resume the response from here.
func (t *transcript) resumable() bool { return !t.resumeDisabled && t.tokens > 0 }

// resumeBody returns the request's body extended by what the caller has
// received.
func (t *transcript) resumeBody(body []byte) ([]byte, error) {
	out, err := sjson.SetBytes(body, upstream.FieldResume, upstream.Resume{Text: string(t.text), Tokens: t.tokens})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer can't be resumed.")
	}
	return out, nil
}

// isResumable reports whether the response to a request may be resumed: it is
// one sequence of tokens in the engines' format, and the request may run more
// than once.
func isResumable(req *Request) bool {
	if !req.Stream || req.Once || !strings.HasPrefix(req.Path, "/v1/") {
		return false
	}
	n := gjson.GetBytes(req.Body, "n")
	return !n.Exists() || n.Int() == 1
}

// parseUsage returns the token counts that a response states.
func parseUsage(body []byte) (prompt, completion int64) {
	usage := gjson.GetBytes(body, "usage")
	return usage.Get("prompt_tokens").Int(), usage.Get("completion_tokens").Int()
}
