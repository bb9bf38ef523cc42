package upstreamtest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// defaultTokens is the answer's length when a request names none.
const defaultTokens = 16

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathChat, e.complete)
	mux.HandleFunc("POST "+upstream.PathCompletions, e.complete)
	mux.HandleFunc("GET "+upstream.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+upstream.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+upstream.PathOrders, e.serveOrderState)
	mux.HandleFunc("POST "+upstream.PathOrders, e.takeOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			abort(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Prompt returns the text of a request body that an answer depends on.
func Prompt(body []byte) string {
	root := gjson.ParseBytes(body)
	if p := root.Get("prompt"); p.Exists() {
		return p.String()
	}
	var parts []string
	for _, m := range root.Get("messages").Array() {
		parts = append(parts, m.Get("content").String())
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.asked.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s := e.newSequence(r, body)
	load, _ := json.Marshal(e.lagged())
	w.Header().Set(upstream.HeaderRequestID, s.id)
	w.Header().Set(upstream.HeaderLoad, string(load))
	if s.next > 0 {
		w.Header().Set(upstream.HeaderResumed, strconv.Itoa(s.next))
	}
	if !e.enqueue(s) {
		w.Header().Set(upstream.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	go func() {
		<-r.Context().Done()
		s.finish(errCancelled)
	}()
	chat := r.URL.Path == upstream.PathChat
	if gjson.GetBytes(body, "stream").Bool() {
		e.stream(w, s, chat)
		return
	}
	e.whole(w, s, chat)
}

func (e *Engine) newSequence(r *http.Request, body []byte) *sequence {
	root := gjson.ParseBytes(body)
	prompt := Prompt(body)
	tokens := defaultTokens
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if n := root.Get(field); n.Exists() {
			tokens = int(n.Int())
		}
	}
	s := &sequence{
		id: r.Header.Get(upstream.HeaderRequestID), prompt: strings.Fields(prompt), seed: Seed(prompt),
		next: int(root.Get(upstream.FieldResume + ".tokens").Int()), end: tokens,
		out: make(chan string, tokens+1), done: make(chan struct{}),
		crash: e.opts.CrashMarker != "" && strings.Contains(prompt, e.opts.CrashMarker),
	}
	if ms, err := strconv.ParseInt(r.Header.Get(upstream.HeaderDeadline), 10, 64); err == nil {
		s.startBy = time.UnixMilli(ms)
	}
	return s
}

func (e *Engine) lagged() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reported()
}

// whole answers in one piece.
func (e *Engine) whole(w http.ResponseWriter, s *sequence, chat bool) {
	<-s.done
	if s.err != nil {
		abort(w)
		return
	}
	close(s.out)
	text := ""
	for word := range s.out {
		text += word
	}
	writeJSON(w, wholeAnswer(s, text, chat))
}

func wholeAnswer(s *sequence, text string, chat bool) any {
	a := answer{ID: s.id, Object: "text_completion", Created: time.Now().Unix(), Model: "m", Usage: &usage{
		PromptTokens: len(s.prompt), CompletionTokens: s.end, TotalTokens: len(s.prompt) + s.end,
	}}
	c := choice{FinishReason: "stop", Text: text}
	if chat {
		a.Object = "chat.completion"
		c.Text = ""
		c.Message = &message{Role: "assistant", Content: text}
	}
	a.Choices = []choice{c}
	return a
}

// stream answers token by token and ends with the end marker.
func (e *Engine) stream(w http.ResponseWriter, s *sequence, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		select {
		case word := <-s.out:
			writeChunk(w, s, word, chat)
			_ = flusher.Flush()
		case <-s.done:
			e.endStream(w, s, chat)
			return
		}
	}
}

func (e *Engine) endStream(w http.ResponseWriter, s *sequence, chat bool) {
	if s.err != nil {
		abort(w)
		return
	}
	for len(s.out) > 0 {
		writeChunk(w, s, <-s.out, chat)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, s *sequence, word string, chat bool) {
	a := answer{ID: s.id, Object: "text_completion", Created: time.Now().Unix(), Model: "m"}
	c := choice{Text: word}
	if chat {
		a.Object = "chat.completion.chunk"
		c.Text = ""
		c.Delta = &message{Role: "assistant", Content: word}
	}
	a.Choices = []choice{c}
	text, _ := json.Marshal(a)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.lagged()) }

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.cache.since(after))
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.order
	e.mu.Unlock()
	writeJSON(w, state)
}

// takeOrder loads what the order asks for. The answer comes at once; the state
// says Loading until the weights are there.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fencing < e.order.Fencing {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders = append(e.orders, o)
	same := e.order.Model == o.Model && e.order.Version == o.Version && e.order.Adapter == o.Adapter
	e.order.Order = o
	if !same {
		e.order.Loading = true
		time.AfterFunc(e.opts.LoadTime, func() { e.loaded(o) })
	}
	writeJSON(w, e.order)
}

func (e *Engine) loaded(o upstream.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.Order == o {
		e.order.Loading = false
	}
}

// Orders returns the orders taken so far.
func (e *Engine) Orders() []upstream.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]upstream.Order(nil), e.orders...)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
