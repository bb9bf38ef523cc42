package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/online"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// bytesPerToken is the ratio used to estimate prompt tokens from the size of
	// the body.
	bytesPerToken = 4
	// defaultCompletionTokens is the expected length of a completion when the
	// request sets no maximum.
	defaultCompletionTokens = 256
	// prefixBytes is the length of the prompt prefix that is hashed for prefix
	// affinity.
	prefixBytes = 1024
)

// complete handles requests for chat and text completions.
func (g *Gateway) complete(c echo.Context) error {
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	root, err := parseObject(body)
	if err != nil {
		return err
	}
	if err := checkFields(root, c.Path()); err != nil {
		return err
	}
	doc, caller, err := authorize(g.Config.Current(), identityOf(c), root.Get("model").String(), "model")
	if err != nil {
		return err
	}
	if doc.Kind != service.KindEngine {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "Service %s is not served by engines.", doc.Name).WithParam("model")
	}
	req := g.newRequest(c, doc, caller, body)
	req.Path = c.Path()
	req.Header = http.Header{echo.HeaderContentType: {echo.MIMEApplicationJSON}}
	req.Stream = root.Get("stream").Bool()
	req.PromptTokens = len(body) / bytesPerToken
	req.Tokens = req.PromptTokens + completionTokens(root)
	req.Prefix = promptPrefixHash(root)
	if err := setAtMostOnce(c, req); err != nil {
		return err
	}
	return g.run(c, req)
}

// proxyPlain forwards a request to a plain service.
func (g *Gateway) proxyPlain(c echo.Context) error {
	doc, caller, err := authorize(g.Config.Current(), identityOf(c), c.Param("service"), "service")
	if err != nil {
		return err
	}
	if doc.Kind != service.KindPlain {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "Service %s is not a plain service.", doc.Name).WithParam("service")
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	req := g.newRequest(c, doc, caller, body)
	req.Path = "/" + c.Param("*")
	if q := c.Request().URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	req.Header = forwardedHeaders(c.Request().Header)
	req.Tokens = 1
	if err := setAtMostOnce(c, req); err != nil {
		return err
	}
	return g.run(c, req)
}

func (g *Gateway) newRequest(c echo.Context, doc *service.Document, caller string, body []byte) *online.Request {
	return &online.Request{
		ID: c.Response().Header().Get(upstream.HeaderRequestID), Doc: doc, Caller: caller,
		Class: doc.ClassOf(c.Request()), Method: c.Request().Method, Body: body,
	}
}

// setAtMostOnce marks a request that may run at most once, as its class or its
// HeaderRepeat demands, and sets the idempotency key that such a request needs.
func setAtMostOnce(c echo.Context, req *online.Request) error {
	h := c.Request().Header
	req.Once = req.Class.Repeat == service.RepeatNever || h.Get(HeaderRepeat) == string(service.RepeatNever)
	if !req.Once {
		return nil
	}
	key := h.Get(HeaderIdempotencyKey)
	if key == "" {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
			"A request that may run at most once needs an idempotency key.").WithParam(HeaderIdempotencyKey)
	}
	req.Key = ledger.Key{Service: req.Doc.Name, Caller: req.Caller, Value: key}
	if text := h.Get(HeaderKeyTime); text != "" {
		keyTime, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The key's time is not in RFC 3339 form.").WithParam(HeaderKeyTime)
		}
		req.Key.Made = keyTime
	}
	return nil
}

// holdBody counts the body of a request against Intake until the request has been answered.
func (g *Gateway) holdBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		hold := g.Intake.Begin(func() { stopReading(c) })
		defer hold.End()
		c.Set(holdContextKey, hold)
		return next(c)
	}
}

// stopReading ends the reading of a request's body, now and later.
func stopReading(c echo.Context) {
	// An error means that the connection is closed, which ends the reading too.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now())
}

func (g *Gateway) readBody(c echo.Context) ([]byte, error) {
	if err := g.setReadDeadline(c); err != nil {
		return nil, err
	}
	hold, _ := c.Get(holdContextKey).(*intake.Hold)
	body, err := hold.ReadBody(c.Request().Body, c.Request().ContentLength, g.Limits.MaxBodyBytes)
	if err != nil {
		stopReading(c)
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return nil, g.bodyError(err)
	}
	// The deadline applies to the body only. net/http keeps reading from the
	// connection to detect that the caller has disconnected; a deadline left in
	// place would cancel a request that runs longer.
	return body, http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
}

// fullRetryAfter is the Retry-After of a request for which there is no memory. Another host has
// room, and here a stalled request makes room before.
const fullRetryAfter = time.Second

// bodyError converts an error from reading a body to a verdict error.
func (g *Gateway) bodyError(err error) error {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeTooLarge, "The body exceeds %d bytes.", g.Limits.MaxBodyBytes)
	case errors.IsAny(err, intake.ErrFull, intake.ErrDropped):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeHostFull, "The host has no memory for the body.").WithRetryAfter(fullRetryAfter)
	default:
		return readError(err)
	}
}

// setReadDeadline limits the time in which a caller must send its body.
func (g *Gateway) setReadDeadline(c echo.Context) error {
	deadline := time.Now().Add(g.Limits.ReadTimeout)
	return http.NewResponseController(c.Response()).SetReadDeadline(deadline)
}

// readError converts an error from reading a body to a verdict error.
func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeTooLarge, "The body exceeds %d bytes.", tooLarge.Limit)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The body could not be read in time.")
	}
}

// parseObject parses body and checks that it is a JSON object without duplicates
// of the interpretedFields: of two values, the system and the engine might each
// use a different one.
func parseObject(body []byte) (gjson.Result, error) {
	if !gjson.ValidBytes(body) {
		return gjson.Result{}, syntaxError(body)
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return gjson.Result{}, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The body is not a JSON object.")
	}
	var seen [len(interpretedFields)]bool
	duplicate := ""
	root.ForEach(func(key, _ gjson.Result) bool {
		if i := slices.Index(interpretedFields[:], key.String()); i >= 0 {
			if seen[i] {
				duplicate = key.String()
			}
			seen[i] = true
		}
		return duplicate == ""
	})
	if duplicate != "" {
		return gjson.Result{}, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The field %s is there twice.", duplicate).WithParam(duplicate)
	}
	return root, nil
}

// interpretedFields are the top-level body fields that the system interprets.
var interpretedFields = [...]string{
	"model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt", "n", upstream.FieldResume,
	"input_file_id", "endpoint", "completion_window", "metadata",
}

// syntaxError returns a verdict error with the line of the first JSON syntax
// error in body.
func syntaxError(body []byte) error {
	var text json.RawMessage
	err := json.Unmarshal(body, &text)
	e := verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The body is not JSON: %v.", err)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(body[:min(int64(len(body)), syntax.Offset)], []byte("\n"))
		return e.WithParam("line " + itoa(line))
	}
	return e
}

// fieldRule is a validation rule for one field of a request body. The text in
// expected completes the message "The field ... must be".
type fieldRule struct {
	name     string
	required bool
	valid    func(gjson.Result) bool
	expected string
}

func isString(r gjson.Result) bool { return r.Type == gjson.String && r.String() != "" }
func isBool(r gjson.Result) bool   { return r.IsBool() }
func isPositiveInteger(r gjson.Result) bool {
	return r.Type == gjson.Number && r.Num >= 1 && r.Num == float64(int64(r.Num))
}
func isMessages(r gjson.Result) bool { return r.IsArray() && len(r.Array()) > 0 }
func isPrompt(r gjson.Result) bool   { return r.Type == gjson.String || r.IsArray() }

var commonFields = []fieldRule{
	{"model", true, isString, "a non-empty string"},
	{"stream", false, isBool, "true or false"},
	{"max_tokens", false, isPositiveInteger, "a whole number of at least 1"},
	{"max_completion_tokens", false, isPositiveInteger, "a whole number of at least 1"},
}

// checkFields validates the fields of a completion request that the system
// interprets. Other fields are left to the engine.
func checkFields(root gjson.Result, path string) error {
	fields := commonFields
	if path == upstream.PathChat {
		fields = append(fields[:len(fields):len(fields)], fieldRule{"messages", true, isMessages, "a non-empty array"})
	} else {
		fields = append(fields[:len(fields):len(fields)], fieldRule{"prompt", true, isPrompt, "a string or an array"})
	}
	for _, f := range fields {
		v := root.Get(f.name)
		if !v.Exists() || v.Type == gjson.Null {
			if f.required {
				return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The field %s is missing.", f.name).WithParam(f.name)
			}
			continue
		}
		if !f.valid(v) {
			return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The field %s must be %s.", f.name, f.expected).WithParam(f.name)
		}
	}
	return nil
}

// authorize returns the document of the service or model called name, and the
// name under which that document lists the caller.
func authorize(s *config.Snapshot, id config.Identity, name, param string) (*service.Document, string, error) {
	doc, ok := s.Lookup(name)
	if !ok {
		return nil, "", verdict.New(verdict.NotRun, verdict.CodeUnknownService, "No service answers to %q.", name).WithParam(param)
	}
	caller, ok := id.Callers[doc.Name]
	if !ok {
		return nil, "", verdict.New(verdict.NotRun, verdict.CodeForbidden, "The caller may not use service %s.", doc.Name).WithParam(param)
	}
	return doc, caller, nil
}

func completionTokens(root gjson.Result) int {
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		if v := root.Get(name); v.Exists() && v.Type == gjson.Number {
			return int(v.Int())
		}
	}
	return defaultCompletionTokens
}

// promptPrefixHash returns the hash of the first prefixBytes of the prompt.
func promptPrefixHash(root gjson.Result) uint64 {
	text := root.Get("messages").Raw
	if text == "" {
		text = root.Get("prompt").Raw
	}
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// strippedHeaders are removed from forwarded requests and responses: the
// hop-by-hop headers (RFC 9110, section 7.6.1) and the headers that concern only
// the caller and this system.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", HeaderRepeat, HeaderKeyTime,
}

// forwardedHeaders returns a copy of h without strippedHeaders and without the
// headers named in Connection.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for named := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(named))
		}
	}
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	return out
}
