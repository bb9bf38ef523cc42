package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths, query parameters and headers of the store's HTTP interface. A key is
// read with GET, written with PUT and removed with DELETE under PathKeys;
// conditions are entity tags (RFC 9110, section 13). A watch is a long poll at
// PathWatch.
const (
	PathKeys    = "/v1/keys/"
	PathWatch   = "/v1/watch"
	ParamTTL    = "ttl_ms"
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamWait   = "wait_ms"
	// HeaderHost is the header with the name of the calling host. The store
	// counts calls by it.
	HeaderHost = "Comfreyspindle-Host"
)

// HTTP is a Store that uses conditional HTTP requests.
type HTTP struct {
	host    string
	bases   []string
	timeout time.Duration
	client  *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a Store that calls the platform's key-value service on behalf
// of the named host. It tries the given addresses in order. The timeout applies
// to each request; a watch may also take its Wait.
func NewHTTP(host string, addresses []string, timeout time.Duration) *HTTP {
	bases := make([]string, len(addresses))
	for i, a := range addresses {
		bases[i] = "http://" + a
	}
	transport := &http.Transport{
		DialContext:         dialCounting(&net.Dialer{Timeout: timeout}),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTP{host: host, bases: bases, timeout: timeout, client: &http.Client{Transport: transport}}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	res, err := h.call(ctx, http.MethodGet, PathKeys+url.PathEscape(key), nil, nil, 0)
	if err != nil {
		return Entry{}, readError(err)
	}
	if err := statusError(res.status); err != nil {
		return Entry{}, errors.Wrapf(err, "get %q", key)
	}
	if res.version == 0 {
		return Entry{}, errors.Mark(errors.Wrapf(errNoVersion, "get %q", key), ErrUnreachable)
	}
	return Entry{Key: key, Value: res.body, Version: res.version}, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, put Put) (Version, error) {
	if len(put.Value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "put %q: %d bytes", put.Key, len(put.Value))
	}
	path := PathKeys + url.PathEscape(put.Key)
	if put.TTL > 0 {
		ms := max(1, put.TTL.Round(time.Millisecond).Milliseconds())
		path += "?" + ParamTTL + "=" + strconv.FormatInt(ms, 10)
	}
	res, err := h.call(ctx, http.MethodPut, path, conditionHeader(put.If), put.Value, 0)
	if err != nil {
		return 0, err
	}
	if err := statusError(res.status); err != nil {
		return 0, errors.Wrapf(err, "put %q", put.Key)
	}
	if res.version == 0 {
		return 0, errors.Mark(errors.Wrapf(errNoVersion, "put %q", put.Key), ErrUnknown)
	}
	return res.version, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, version Version) error {
	res, err := h.call(ctx, http.MethodDelete, PathKeys+url.PathEscape(key), conditionHeader(version), nil, 0)
	if err != nil {
		return err
	}
	return errors.Wrapf(statusError(res.status), "delete %q", key)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, w Watch) (Changes, error) {
	q := url.Values{}
	q.Set(ParamKey, w.Key)
	q.Set(ParamPrefix, strconv.FormatBool(w.Prefix))
	q.Set(ParamAfter, strconv.FormatUint(uint64(w.After), 10))
	q.Set(ParamWait, strconv.FormatInt(w.Wait.Milliseconds(), 10))
	res, err := h.call(ctx, http.MethodGet, PathWatch+"?"+q.Encode(), nil, nil, w.Wait)
	if err != nil {
		return Changes{}, readError(err)
	}
	if err := statusError(res.status); err != nil {
		return Changes{}, errors.Wrapf(err, "watch %q", w.Key)
	}
	var c Changes
	if err := json.Unmarshal(res.body, &c); err != nil {
		return Changes{}, errors.Mark(errors.Wrap(err, "decode reply to watch"), ErrUnreachable)
	}
	return c, nil
}

// Errors of replies that are not whole.
var (
	errNoVersion = errors.New("reply has no valid ETag")
	errNoLength  = errors.New("reply ends with its connection")
)

type response struct {
	status  int
	version Version
	body    []byte
}

// call sends a request to the addresses in order until an attempt gets a reply or
// fails with another error than ErrUnreachable. The outcome of such a failure is
// unknown, so that the request must not be sent again. An attempt that found its
// idle connection closed is repeated once at the same address.
func (h *HTTP) call(ctx context.Context, method, path string, header http.Header, body []byte, wait time.Duration) (response, error) {
	var lastErr error
	for _, base := range h.bases {
		res, err := h.attempt(ctx, method, base+path, header, body, wait)
		if errors.Is(err, errNothingWritten) {
			res, err = h.attempt(ctx, method, base+path, header, body, wait)
		}
		if err == nil || !errors.Is(err, ErrUnreachable) {
			return res, err
		}
		lastErr = err
	}
	return response{}, lastErr
}

func (h *HTTP) attempt(ctx context.Context, method, target string, header http.Header, body []byte, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout+wait)
	defer cancel()
	// With a reader type that net/http does not know, GetBody stays unset, so
	// that the transport never resends the request on its own.
	req, err := http.NewRequestWithContext(ctx, method, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnreachable)
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderHost, h.host)
	written := &writeTrace{}
	res, err := h.client.Do(req.WithContext(written.withTrace(ctx)))
	if err != nil {
		return response{}, written.markOutcome(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, 64*MaxValueBytes))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnknown)
	}
	if endsWithConnection(res) {
		return response{}, errors.Mark(errNoLength, ErrUnknown)
	}
	return response{status: res.StatusCode, version: versionOf(res.Header), body: data}, nil
}

// endsWithConnection reports whether nothing but the end of the connection shows the end of a
// reply, so that a part of it can't be told from the whole.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
}

// readError replaces ErrUnknown by ErrUnreachable: a read has no effect that
// could be unknown.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return errors.Mark(errors.Newf("%v", err), ErrUnreachable)
	}
	return err
}

func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrLimited
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusServiceUnavailable:
		return ErrUnreachable
	default:
		return errors.Wrapf(ErrUnknown, "store replied with status %d", status)
	}
}

func conditionHeader(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", EntityTag(v))
	return h
}

// EntityTag returns the strong entity tag of a version.
func EntityTag(v Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// ParseEntityTag returns the version that a strong entity tag holds.
func ParseEntityTag(tag string) (Version, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, errors.Wrapf(err, "parse entity tag %s", tag)
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return Version(v), errors.Wrapf(err, "parse entity tag %s", tag)
}

func versionOf(h http.Header) Version {
	v, err := ParseEntityTag(h.Get("ETag"))
	if err != nil {
		return 0
	}
	return v
}
