// Package upstream sends requests and orders to engines and plain services.
// Requests use the OpenAI-style HTTP format; load, cache events, orders and
// resume are a small extension whose parts are each optional.
package upstream

import "time"

// Paths of the callers' format that engines serve.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Paths of the extension.
const (
	PathLoad        = "/x/load"
	PathCacheEvents = "/x/cache-events"
	PathOrders      = "/x/orders"
)

// Headers that requests and answers carry.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderLoad carries a Load as JSON on every answer.
	HeaderLoad = "Comfreyspindle-Load"
	// HeaderDeadline is the time, in Unix milliseconds, after which the
	// upstream must not start the request.
	HeaderDeadline = "Comfreyspindle-Start-By"
	// HeaderLeaving is set to true by an upstream that takes no new work.
	HeaderLeaving = "Comfreyspindle-Leaving"
	// HeaderResumed is the number of tokens after which an answer goes on. An
	// engine that ignores FieldResume doesn't set it.
	HeaderResumed = "Comfreyspindle-Resumed"
)

// FieldResume is the body field that continues a broken answer.
const FieldResume = "resume"

// Resume continues an answer from the tokens already produced.
type Resume struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Load is an engine's report of its own load.
type Load struct {
	// At is when the engine took the reading, by its own clock.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// TokenInterval is the recent time between tokens of one sequence.
	TokenInterval time.Duration `json:"token_interval_ns"`
	Leaving       bool          `json:"leaving,omitempty"`
	Model         string        `json:"model,omitempty"`
	Version       string        `json:"version,omitempty"`
}

// CacheEvent says that an engine stored or dropped a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prefix up to the end of a block.
	Block   uint64 `json:"block"`
	Dropped bool   `json:"dropped,omitempty"`
}

// Order states the wanted state of an engine.
type Order struct {
	// Fencing is the issuer's number; engines that check it refuse a lower one.
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderState is an engine's state as orders see it.
type OrderState struct {
	Order
	// Loading says that weights are being loaded for the order.
	Loading bool `json:"loading,omitempty"`
}
