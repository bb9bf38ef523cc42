// Package service defines the service document, in which the team that owns a
// service describes it. The package contains types, defaults and validation; the
// config package decides which generation of a document is in force.
package service

import (
	"net/http"
	"strings"
	"time"
)

// Kind is the kind of a service's upstreams, which determines their protocol.
type Kind string

// Kinds of upstream.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Document describes one service.
type Document struct {
	// Name identifies the service in requests and in keys of the store.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Generation is the number of the document's version, set by the system. It is
	// 0 in a file that a team writes.
	Generation uint64 `yaml:"generation,omitempty"`
	// Deleted marks a generation that deletes the service.
	Deleted bool `yaml:"deleted,omitempty"`
	// Kind is the kind of the upstreams, which determines their protocol.
	Kind Kind `yaml:"kind" default:"engine" validate:"oneof=engine plain"`
	// Models are the models that callers can name in requests to the service.
	Models []Model `yaml:"models" validate:"dive"`
	// Callers are the callers that are allowed to use the service.
	Callers []Caller `yaml:"callers" validate:"required,min=1,unique=Name,dive"`
	// Upstreams are the replicas that run requests.
	Upstreams []Upstream `yaml:"upstreams" validate:"unique=Name,dive"`
	// Classes group online requests by priority, highest first.
	Classes []Class `yaml:"classes" validate:"required,min=1,unique=Name,dive"`
	// Routing limits where requests run, how many run, and how long they take.
	Routing Routing `yaml:"routing"`
	// Batch configures batch jobs.
	Batch Batch `yaml:"batch"`
	// Ceilings are hard limits on cost.
	Ceilings Ceilings `yaml:"ceilings"`
	// Once configures requests that run at most once.
	Once Once `yaml:"once"`
	// Quarantine configures the protection against requests that crash upstreams.
	Quarantine Quarantine `yaml:"quarantine"`
	// Orders configures the orders that the system sends to engines.
	Orders Orders `yaml:"orders"`
}

// Model is a model that the service's engines serve, with or without an adapter.
type Model struct {
	// Name is the model's name in requests.
	Name string `yaml:"name" validate:"required,max=128"`
	// Version is the version of the model to serve.
	Version string `yaml:"version" default:"1"`
	// Adapter is the name of the adapter to apply to the model; empty means none.
	Adapter string `yaml:"adapter,omitempty"`
	// Replicas is the number of replicas that serve the model. Models with 0 share
	// the remaining replicas equally.
	Replicas int `yaml:"replicas,omitempty" validate:"min=0"`
}

// Caller is a customer with its API key, share and limits.
type Caller struct {
	// Name identifies the caller in limits and in the accounting of costs.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the API key.
	KeySHA256 string `yaml:"key_sha256" validate:"required,len=64,hexadecimal"`
	// Weight is the caller's share of the capacity under contention, relative to
	// the weights of other callers.
	Weight float64 `yaml:"weight" default:"1" validate:"gt=0"`
	// RequestsPerSecond limits the caller's rate of requests over all hosts; 0 means
	// no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" validate:"min=0"`
	// TokensPerSecond limits the caller's rate of requested tokens over all hosts; 0
	// means no limit.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" validate:"min=0"`
}

// Upstream is one replica of the service.
type Upstream struct {
	// Name identifies the upstream within the service.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Address is the IP number and port of the upstream.
	Address string `yaml:"address" validate:"required,ipport"`
	// DataCentre is the name of the upstream's data centre.
	DataCentre string `yaml:"data_centre" validate:"required,label"`
	// Region is the name of the region that contains the data centre.
	Region string `yaml:"region" validate:"required,label"`
	// ChecksFencing declares that the engine rejects an order whose fencing number is
	// lower than one it has seen.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
	// RefusalStatuses are the HTTP statuses with which this upstream reports that it
	// did not run the request.
	RefusalStatuses []int `yaml:"refusal_statuses,omitempty" validate:"dive,min=400,max=599"`
}

// Repeat specifies whether a request may run more than once.
type Repeat string

// Values of Repeat.
const (
	RepeatAllowed Repeat = "allowed"
	RepeatNever   Repeat = "never"
)

// Class is a group of online requests with the same priority.
type Class struct {
	// Name identifies the class.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Match selects the requests of the class; an empty match selects all requests.
	Match Match `yaml:"match,omitempty"`
	// FirstToken is the target for the time from a request's arrival to its first
	// token.
	FirstToken time.Duration `yaml:"first_token" default:"480ms" validate:"gt=0"`
	// Weight is the class's share of the capacity that classes of higher priority
	// leave unused, relative to the weights of other classes.
	Weight float64 `yaml:"weight" default:"1" validate:"gt=0"`
	// MinimumShare is the fraction of the capacity that the class gets while it has
	// waiting requests, ahead of classes of higher priority.
	MinimumShare float64 `yaml:"minimum_share" default:"0.02" validate:"min=0,max=0.5"`
	// Repeat specifies whether the class's requests may run more than once.
	Repeat Repeat `yaml:"repeat" default:"allowed" validate:"oneof=allowed never"`
}

// Match selects requests by a header's value or a path prefix.
type Match struct {
	// Header is the name of the header whose value must equal Value. If it is empty,
	// headers are not compared.
	Header string `yaml:"header,omitempty"`
	// Value is the required value of the header.
	Value string `yaml:"value,omitempty"`
	// Path is the required prefix of the request's path.
	Path string `yaml:"path,omitempty"`
}

// Scope limits how far from its entry host a request may run.
type Scope string

// Values of Scope, from narrow to wide.
const (
	ScopeDataCentre Scope = "data-centre"
	ScopeRegion     Scope = "region"
	ScopeAny        Scope = "any"
)

// Routing limits where requests run, how many run, and how long they take.
type Routing struct {
	// Scope limits how far from its entry host a request may run: in the same data
	// centre, in the same region or anywhere.
	Scope Scope `yaml:"scope" default:"region" validate:"oneof=data-centre region any"`
	// Subset is the number of replicas to which a host keeps connections.
	Subset int `yaml:"subset" default:"40" validate:"min=1,max=1000"`
	// Concurrency is the number of running requests per replica from which admission
	// control derives its limit.
	Concurrency int `yaml:"concurrency" default:"16" validate:"min=1,max=100000"`
	// QueueLimit limits the number of requests that wait on one host.
	QueueLimit int `yaml:"queue_limit" default:"1000" validate:"min=1,max=1000000"`
	// RequestTimeout limits the duration of one request, including a streamed
	// response.
	RequestTimeout time.Duration `yaml:"request_timeout" default:"5m" validate:"gt=0"`
	// RetryBudget limits the number of retries, as a fraction of the recent
	// successful requests.
	RetryBudget float64 `yaml:"retry_budget" default:"0.1" validate:"min=0,max=1"`
	// MaxTries limits the number of attempts of one request.
	MaxTries int `yaml:"max_tries" default:"3" validate:"min=1,max=10"`
	// EjectLimit is the largest fraction of the replicas that may be ejected at the
	// same time.
	EjectLimit float64 `yaml:"eject_limit" default:"0.3" validate:"min=0,max=1"`
	// SlowStart is the time in which a new replica's share of the requests rises to
	// its full value.
	SlowStart time.Duration `yaml:"slow_start" default:"10s" validate:"min=0"`
}

// Batch configures batch jobs.
type Batch struct {
	// Enabled specifies whether the service accepts batch jobs.
	Enabled bool `yaml:"enabled" default:"true"`
	// ThroughputWeight is the trade-off between online tail latency and batch
	// throughput: at 0 only latency counts, at 1 only throughput.
	ThroughputWeight float64 `yaml:"throughput_weight" default:"0.5" validate:"min=0,max=1"`
	// TokenInterval is the target for the time between tokens of online requests.
	TokenInterval time.Duration `yaml:"token_interval" default:"63ms" validate:"gt=0"`
	// MaxSlots limits the number of batch items that run on one replica.
	MaxSlots int `yaml:"max_slots" default:"64" validate:"min=1,max=4096"`
	// Capacity is the number of sequences that a replica runs at the same time
	// before it queues further ones; 0 estimates it from the replicas' queues.
	Capacity int `yaml:"capacity,omitempty" validate:"min=0,max=100000"`
	// SegmentItems is the number of items in one segment.
	SegmentItems int `yaml:"segment_items" default:"500" validate:"min=1,max=5000"`
	// MaxTries limits the number of attempts of one item. An attempt that was
	// preempted or whose replica failed while it ran other items does not count.
	MaxTries int `yaml:"max_tries" default:"3" validate:"min=1,max=20"`
	// Retention is how long a job can be read after it has ended.
	Retention time.Duration `yaml:"retention" default:"720h" validate:"gt=0"`
	// ResendWindow is how long a repeated submission of the same content without an
	// idempotency key counts as the same job.
	ResendWindow time.Duration `yaml:"resend_window" default:"1h" validate:"gt=0"`
	// Due is the time from acceptance to the due time of a job that specifies no due
	// time.
	Due time.Duration `yaml:"due" default:"24h" validate:"gt=0"`
	// LateShare is the largest fraction of the batch capacity that jobs that will
	// miss their due time get ahead of jobs that can still meet theirs.
	LateShare float64 `yaml:"late_share" default:"0.5" validate:"min=0,max=1"`
	// Resume declares that the engines can continue an interrupted response, so that
	// a preempted item keeps the output that it has produced.
	Resume bool `yaml:"resume" default:"true"`
	// Repeat specifies whether items may run more than once.
	Repeat Repeat `yaml:"repeat" default:"allowed" validate:"oneof=allowed never"`
}

// Ceilings are hard limits on cost in one period.
type Ceilings struct {
	// Period is the length of an accounting period.
	Period time.Duration `yaml:"period" default:"24h" validate:"gt=0"`
	// CrossRegionBytes limits the bytes sent between regions in a period; 0 allows
	// none.
	CrossRegionBytes int64 `yaml:"cross_region_bytes" default:"0" validate:"min=0"`
	// Allotment is the number of bytes that a host reserves at a time from the
	// ceiling.
	Allotment int64 `yaml:"allotment" default:"1048576" validate:"min=1024"`
}

// Once configures requests that run at most once.
type Once struct {
	// Window is how long the ledger keeps an idempotency key.
	Window time.Duration `yaml:"window" default:"24h" validate:"gt=0"`
	// Shards is the number of shards of the ledger. The first request fixes it; a
	// later change has no effect.
	Shards int `yaml:"shards" default:"4" validate:"min=1,max=4096"`
}

// Quarantine configures the protection against requests that crash upstreams.
type Quarantine struct {
	// Enabled specifies whether the protection is on.
	Enabled bool `yaml:"enabled" default:"true"`
	// Duration is how long a request is refused after it was confirmed to crash
	// upstreams.
	Duration time.Duration `yaml:"duration" default:"1h" validate:"gt=0"`
}

// Orders configures the orders that the system sends to engines.
type Orders struct {
	// Enabled allows the system to send orders, which set the engines' models,
	// versions and roles.
	Enabled bool `yaml:"enabled,omitempty"`
	// Timeout limits the duration of one order.
	Timeout time.Duration `yaml:"timeout" default:"10s" validate:"gt=0"`
	// ConcurrentLoads limits the number of engines in a data centre that load weights
	// at the same time.
	ConcurrentLoads int `yaml:"concurrent_loads" default:"2" validate:"min=1"`
	// Floor is the fraction of the replicas that keep serving during a rollout.
	Floor float64 `yaml:"floor" default:"0.75" validate:"min=0,max=1"`
	// Soak is how long replicas must serve in the new state before further orders are
	// sent.
	Soak time.Duration `yaml:"soak" default:"30s" validate:"min=0"`
	// MinRequests is the number of requests that both the old and the new state must
	// have served before their error rates are compared.
	MinRequests int `yaml:"min_requests" default:"100" validate:"min=1"`
	// MaxErrorIncrease is the increase of the fraction of failed requests above which
	// a rollout stops.
	MaxErrorIncrease float64 `yaml:"max_error_increase" default:"0.01" validate:"min=0,max=1"`
	// MaxLatencyRatio is the ratio of the new to the old time between tokens above
	// which a rollout stops.
	MaxLatencyRatio float64 `yaml:"max_latency_ratio" default:"1.25" validate:"min=1"`
}

// Answers reports whether name is the service's name or one of its models' names.
func (d *Document) Answers(name string) bool {
	if d.Name == name {
		return true
	}
	for i := range d.Models {
		if d.Models[i].Name == name {
			return true
		}
	}
	return false
}

// CallerNamed returns the caller with the given name.
func (d *Document) CallerNamed(name string) (*Caller, bool) {
	for i := range d.Callers {
		if d.Callers[i].Name == name {
			return &d.Callers[i], true
		}
	}
	return nil, false
}

// ClassOf returns the first class that matches a request, or the last class
// when none does.
func (d *Document) ClassOf(r *http.Request) *Class {
	for i := range d.Classes {
		if d.Classes[i].Match.matches(r) {
			return &d.Classes[i]
		}
	}
	return &d.Classes[len(d.Classes)-1]
}

func (m Match) matches(r *http.Request) bool {
	if m.Header != "" && r.Header.Get(m.Header) != m.Value {
		return false
	}
	return strings.HasPrefix(r.URL.Path, m.Path)
}
