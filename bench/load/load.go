// Package load generates callers' traffic: open-loop arrivals, so that a slow
// system does not slow down its own load (no coordinated omission).
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Bounds of a histogram, in microseconds.
const (
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// Chat describes a stream of chat requests.
type Chat struct {
	// Targets are callers' addresses, taken in turn.
	Targets []string
	Key     string
	Model   string
	// Class is sent as X-Class.
	Class string
	// Rate is the mean of Poisson arrivals a second.
	Rate float64
	// Tokens is the length of an answer.
	Tokens int
	// PromptWords is the length of a prompt.
	PromptWords int
	Seed        uint64
}

// Stats are the outcome of a load. It is safe for concurrent use.
type Stats struct {
	mu         sync.Mutex
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	Sent       int
	Whole      int
	Refused    int
	Failed     int
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		FirstToken: hdrhistogram.New(minMicros, maxMicros, digits),
		Total:      hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

// Percentile returns a percentile of a histogram as a duration.
func Percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// Run sends requests until ctx ends, then waits for the answers.
func (c *Chat) Run(ctx context.Context, client *http.Client, stats *Stats) {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	var group sync.WaitGroup
	defer group.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		target := c.Targets[n%len(c.Targets)]
		prompt := Prompt(rng, c.PromptWords)
		due := next
		group.Go(func() { c.one(context.WithoutCancel(ctx), client, target, prompt, due, stats) })
	}
}

// Prompt returns a prompt of n words.
func Prompt(rng *rand.Rand, n int) string {
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("p%x", rng.Uint32())
	}
	return strings.Join(words, " ")
}

// Body is the body of a chat request.
type Body struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody encodes a chat request.
func ChatBody(model, prompt string, tokens int, stream bool) []byte {
	text, err := json.Marshal(Body{Model: model, MaxTokens: tokens, Stream: stream, Messages: []Message{{Role: "user", Content: prompt}}})
	if err != nil {
		panic(err)
	}
	return text
}

// errRefused marks a request that was refused as not run.
var errRefused = errors.New("refused")

// one sends a streaming request; latency counts from the time it was due.
func (c *Chat) one(ctx context.Context, client *http.Client, target, prompt string, due time.Time, stats *Stats) {
	first, err := c.stream(ctx, client, target, prompt)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.Sent++
	switch {
	case errors.Is(err, errRefused):
		stats.Refused++
	case err != nil:
		stats.Failed++
	default:
		stats.Whole++
		_ = stats.FirstToken.RecordValue(first.Sub(due).Microseconds())
		_ = stats.Total.RecordValue(time.Since(due).Microseconds())
	}
}

func (c *Chat) stream(ctx context.Context, client *http.Client, target, prompt string) (first time.Time, err error) {
	body := ChatBody(c.Model, prompt, c.Tokens, true)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return first, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("X-Class", c.Class)
	res, err := client.Do(req)
	if err != nil {
		return first, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		if res.Header.Get("Comfreyspindle-Verdict") == "not-run" {
			return first, errRefused
		}
		return first, errors.Newf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if first.IsZero() {
			first = time.Now()
		}
		if lines.Text() == "data: [DONE]" {
			return first, nil
		}
	}
	return first, errors.CombineErrors(lines.Err(), io.ErrUnexpectedEOF)
}
