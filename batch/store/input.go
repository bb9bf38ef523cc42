package store

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Item is one line of an input file: one request.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Result is one line of a result file.
type Result struct {
	CustomID string        `json:"custom_id"`
	Response *ItemResponse `json:"response,omitempty"`
	Error    *ItemError    `json:"error,omitempty"`
}

// ItemResponse is the response to an item.
type ItemResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ItemError says why an item has no response.
type ItemError struct {
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
}

// ReadItems decodes JSON Lines and calls visit with each item and its line
// number, counted from 1. Blank lines are skipped. The error for an invalid
// line names the line and the field at fault.
func ReadItems(r io.Reader, maxLineBytes int, visit func(line int, item *Item) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	seen := make(map[string]int)
	n := 0
	for lines.Scan() {
		n++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		item, err := parseItem(lines.Bytes(), n)
		if err != nil {
			return err
		}
		if first, dup := seen[item.CustomID]; dup {
			return LineError(n, "custom_id", "is the same as on line "+strconv.Itoa(first))
		}
		seen[item.CustomID] = n
		if err := visit(n, item); err != nil {
			return err
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return LineError(n+1, "", "exceeds "+strconv.Itoa(maxLineBytes)+" bytes")
	}
	if lines.Err() == nil && len(seen) == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The file has no items.").WithParam("file")
	}
	return lines.Err()
}

func parseItem(text []byte, line int) (*Item, error) {
	item := &Item{}
	if err := json.Unmarshal(text, item); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, LineError(line, wrong.Field, "has the wrong type")
		}
		return nil, LineError(line, "", "is not a JSON object: "+err.Error())
	}
	switch {
	case item.CustomID == "":
		return nil, LineError(line, "custom_id", "is missing")
	case item.Method != http.MethodPost:
		return nil, LineError(line, "method", "must be POST")
	case item.URL != upstream.PathChat && item.URL != upstream.PathCompletions:
		return nil, LineError(line, "url", "must be "+upstream.PathChat+" or "+upstream.PathCompletions)
	case len(item.Body) == 0 || item.Body[0] != '{':
		return nil, LineError(line, "body", "must be an object")
	}
	item.Body = bytes.Clone(item.Body)
	return item, nil
}

// LineError returns the error for an invalid input line. It names the line and,
// unless empty, the field; what completes the sentence.
func LineError(line int, field, what string) error {
	where := "line " + strconv.Itoa(line)
	if field != "" {
		where += ", field " + field
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "Input %s: %s.", where, what).WithParam(where)
}
