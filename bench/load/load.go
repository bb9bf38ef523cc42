// Package load generates callers' traffic: open-loop arrivals, so that a slow
// system does not slow down its own load (no coordinated omission).
package load

import (
	"context"
	"encoding/json"
	"fmt"
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
	// Prompt makes the prompts; nil takes random words.
	Prompt func(rng *rand.Rand) string
	// Once sends each request as one that may run at most once.
	Once bool
	Seed uint64
}

// NewClient returns an HTTP client that keeps connections for a load.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// Stats are the outcome of a load. It is safe for concurrent use while a load
// runs; the fields are read after it.
type Stats struct {
	mu         sync.Mutex
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	// Refusal is the time to a refusal as not run.
	Refusal *hdrhistogram.Histogram
	Sent    int
	// Whole answers are complete and are those of the own request; Wrong ones
	// are complete and are not.
	Whole   int
	Wrong   int
	Refused int
	Failed  int
	// Errors holds a few of the failures.
	Errors []string
}

// maxErrors bounds the failures that Stats keeps.
const maxErrors = 5

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		FirstToken: hdrhistogram.New(minMicros, maxMicros, digits),
		Total:      hdrhistogram.New(minMicros, maxMicros, digits),
		Refusal:    hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

// WholeSoFar returns the whole answers so far, also while a load runs.
func (s *Stats) WholeSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Whole
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
		if wait(ctx, time.Until(next)) != nil {
			return
		}
		call := c.call(rng, n, next)
		group.Go(func() { call.run(context.WithoutCancel(ctx), client, stats) })
	}
}

// RunClosed keeps the given number of requests running until ctx ends, for
// finding the capacity.
func (c *Chat) RunClosed(ctx context.Context, client *http.Client, stats *Stats, running int) {
	var group sync.WaitGroup
	defer group.Wait()
	for worker := range running {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(worker)+2))
		group.Go(func() {
			for n := worker; ctx.Err() == nil; n++ {
				call := c.call(rng, n, time.Now())
				call.run(context.WithoutCancel(ctx), client, stats)
			}
		})
	}
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Chat) call(rng *rand.Rand, n int, due time.Time) *call {
	newPrompt := c.Prompt
	if newPrompt == nil {
		newPrompt = func(rng *rand.Rand) string { return Prompt(rng, c.PromptWords) }
	}
	prompt := newPrompt(rng)
	key := ""
	if c.Once {
		key = fmt.Sprintf("%d-%d", c.Seed, rng.Uint64())
	}
	return &call{chat: c, target: c.Targets[n%len(c.Targets)], prompt: prompt, key: key, due: due}
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

// Errors of one request.
var (
	errRefused = errors.New("refused as not run")
	errWrong   = errors.New("answer of another request")
)

func (s *Stats) add(due, first, end time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	switch {
	case errors.Is(err, errRefused):
		s.Refused++
		_ = s.Refusal.RecordValue(end.Sub(due).Microseconds())
	case errors.Is(err, errWrong):
		s.Wrong++
	case err != nil:
		s.Failed++
		if len(s.Errors) < maxErrors {
			s.Errors = append(s.Errors, err.Error())
		}
	default:
		s.Whole++
		_ = s.FirstToken.RecordValue(first.Sub(due).Microseconds())
		_ = s.Total.RecordValue(end.Sub(due).Microseconds())
	}
}

// Hold opens n streams and keeps them until ctx ends.
func (c *Chat) Hold(ctx context.Context, client *http.Client, n int) {
	rng := rand.New(rand.NewPCG(c.Seed, 5))
	var group sync.WaitGroup
	defer group.Wait()
	for i := range n {
		call := c.call(rng, i, time.Now())
		group.Go(func() { _ = call.stream(ctx, client) })
	}
}
