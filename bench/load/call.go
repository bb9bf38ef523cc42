package load

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/gateway"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// call is one streaming request.
type call struct {
	chat   *Chat
	target string
	prompt string
	key    string
	due    time.Time
	first  time.Time
}

// run sends the request; latency counts from the time it was due.
func (c *call) run(ctx context.Context, client *http.Client, stats *Stats) {
	err := c.stream(ctx, client)
	stats.add(c.due, c.first, time.Now(), err)
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	body := ChatBody(c.chat.Model, c.prompt, c.chat.Tokens, true)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target+upstream.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.chat.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Class", c.chat.Class)
	if c.key != "" {
		req.Header.Set(gateway.HeaderIdempotencyKey, c.key)
		req.Header.Set(gateway.HeaderRepeat, "never")
	}
	return req, nil
}

func (c *call) stream(ctx context.Context, client *http.Client) error {
	req, err := c.request(ctx)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		if res.Header.Get(gateway.HeaderVerdict) == verdict.NotRun.String() {
			return errors.Wrapf(errRefused, "%s", text)
		}
		return errors.Newf("status %d: %s", res.StatusCode, text)
	}
	return c.read(res.Body)
}

// read reads the answer up to its end marker and checks that it is the
// request's own.
func (c *call) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if c.first.IsZero() {
			c.first = time.Now()
		}
		if string(data) == "[DONE]" {
			return c.check(text.String())
		}
		if e := gjson.GetBytes(data, "error"); e.Exists() {
			return errors.Newf("error event: %s", e.Raw)
		}
		text.WriteString(gjson.GetBytes(data, "choices.0.delta.content").String())
	}
	return errors.CombineErrors(io.ErrUnexpectedEOF, lines.Err())
}

func (c *call) check(text string) error {
	if text != upstreamtest.Answer(c.prompt, c.chat.Tokens) {
		return errors.Wrapf(errWrong, "got %q", text)
	}
	return nil
}
