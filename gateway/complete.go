package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/online"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// bytesPerToken estimates prompt tokens from bytes.
	bytesPerToken = 4
	// defaultCompletionTokens is the expected answer when a request names none.
	defaultCompletionTokens = 256
	// prefixBytes is the part of the prompt that cache affinity looks at.
	prefixBytes = 1024
)

// complete serves chat and text completions.
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

// proxyPlain passes a request on to a proxyPlain service.
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

// setAtMostOnce marks a request that may run at most once.
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

func (g *Gateway) readBody(c echo.Context) ([]byte, error) {
	if err := g.setReadDeadline(c); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, g.Limits.MaxBodyBytes))
	if err != nil {
		return nil, readError(err)
	}
	// The deadline is the body's only: net/http goes on reading to notice that
	// the caller has gone, and would cancel a longer request.
	return body, http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
}

// setReadDeadline bounds the time that a caller may take to send its body.
func (g *Gateway) setReadDeadline(c echo.Context) error {
	deadline := time.Now().Add(g.Limits.ReadTimeout)
	return http.NewResponseController(c.Response()).SetReadDeadline(deadline)
}

// readError explains why a body can't be read.
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

// parseObject checks that body is a JSON object that names no field twice which
// the system reads: it and the engine might each take another one.
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

// interpretedFields are the fields of a body that the system reads.
var interpretedFields = [...]string{
	"model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt", "n", upstream.FieldResume,
	"input_file_id", "endpoint", "completion_window", "metadata",
}

// syntaxError says where a body stops being JSON.
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

// fieldRule is a rule for one fieldRule of a request body.
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

// checkFields checks the fields that the system itself reads.
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

// authorize finds the document that answers to name and the caller's name there.
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

// promptPrefixHash hashes the beginning of the prompt.
func promptPrefixHash(root gjson.Result) uint64 {
	text := root.Get("messages").Raw
	if text == "" {
		text = root.Get("prompt").Raw
	}
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}

// strippedHeaders are not passed on (RFC 9110, section 7.6.1), nor are the headers
// between caller and system.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", HeaderRepeat, HeaderKeyTime,
}

func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(named))
	}
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	return out
}
