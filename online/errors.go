package online

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// ErrorBody is the body of an error response to a caller.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed, whether the request may have run and when to
// retry.
type ErrorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Code         verdict.Code    `json:"code"`
	Param        string          `json:"param,omitempty"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// NewErrorBody returns the body that describes err.
func NewErrorBody(err error) ErrorBody {
	e := verdict.As(err)
	kind := "server_error"
	if e.Status() < 500 {
		kind = "invalid_request_error"
	}
	return ErrorBody{Error: ErrorDetail{
		Message: e.Message, Type: kind, Code: e.Code, Param: e.Param, Verdict: e.Verdict,
		RetryAfterMS: e.RetryAfter.Round(time.Millisecond).Milliseconds(),
	}}
}

// errorEvent returns the event that ends a failed stream.
func errorEvent(err error) []byte {
	text, marshalErr := json.Marshal(NewErrorBody(err))
	if marshalErr != nil {
		text = []byte(`{"error":{}}`)
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}
