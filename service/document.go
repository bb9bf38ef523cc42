// Package service defines the service document: the one description of a
// service that its owning team writes and keeps. It holds types, defaults and
// validation; the config package decides which generation is in force.
package service

import (
	"net/http"
	"strings"
	"time"
)

// Kind is the kind of a service's upstreams.
type Kind string

// Kinds of upstream.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Document describes one service.
type Document struct {
	// Name identifies the service in requests and keys.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Generation is set by the system; zero in a team's file.
	Generation uint64 `yaml:"generation,omitempty"`
	// Deleted marks a generation that removes the service.
	Deleted bool `yaml:"deleted,omitempty"`
	// Kind says which protocol the upstreams speak.
	Kind Kind `yaml:"kind" default:"engine" validate:"oneof=engine plain"`
	// Models are the model names that the service answers to.
	Models []Model `yaml:"models" validate:"dive"`
	// Callers are the callers that may use the service.
	Callers []Caller `yaml:"callers" validate:"required,min=1,unique=Name,dive"`
	// Upstreams are the replicas that run requests.
	Upstreams []Upstream `yaml:"upstreams" validate:"unique=Name,dive"`
	// Classes divide online requests by urgency, most urgent first.
	Classes []Class `yaml:"classes" validate:"required,min=1,unique=Name,dive"`
	// Routing bounds where requests may go and for how long.
	Routing Routing `yaml:"routing"`
	// Batch steers batch jobs.
	Batch Batch `yaml:"batch"`
	// Ceilings are hard limits on cost.
	Ceilings Ceilings `yaml:"ceilings"`
	// Once steers requests that run at most once.
	Once Once `yaml:"once"`
	// Quarantine steers the defence against requests that crash upstreams.
	Quarantine Quarantine `yaml:"quarantine"`
	// Orders steers orders to engines.
	Orders Orders `yaml:"orders"`
}

// Model is a model, or an adapter over one, that the service's engines serve.
type Model struct {
	// Name is the model's name in requests.
	Name string `yaml:"name" validate:"required,max=128"`
	// Version is the wanted version.
	Version string `yaml:"version" default:"1"`
	// Adapter is the wanted adapter over the model.
	Adapter string `yaml:"adapter,omitempty"`
	// Replicas is the wanted number of replicas; zero means all.
	Replicas int `yaml:"replicas,omitempty" validate:"min=0"`
}

// Caller is a customer's API key with its share and limits.
type Caller struct {
	// Name identifies the caller in limits and costs.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the API key.
	KeySHA256 string `yaml:"key_sha256" validate:"required,len=64,hexadecimal"`
	// Weight is the caller's share under contention.
	Weight float64 `yaml:"weight" default:"1" validate:"gt=0"`
	// RequestsPerSecond limits the caller over all hosts; zero means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" validate:"min=0"`
	// TokensPerSecond limits asked tokens over all hosts; zero means no limit.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" validate:"min=0"`
}

// Upstream is one replica.
type Upstream struct {
	// Name identifies the upstream in the service.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Address is an IP number and port.
	Address string `yaml:"address" validate:"required,ipport"`
	// DataCentre is where the upstream stands.
	DataCentre string `yaml:"data_centre" validate:"required,label"`
	// Region is the region of the data centre.
	Region string `yaml:"region" validate:"required,label"`
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
	// RefusalStatuses are the HTTP statuses by which this upstream says that
	// it did not run the request.
	RefusalStatuses []int `yaml:"refusal_statuses,omitempty" validate:"dive,min=400,max=599"`
}

// Repeat says whether a request may run more than once.
type Repeat string

// Repeat settings.
const (
	RepeatAllowed Repeat = "allowed"
	RepeatNever   Repeat = "never"
)

// Class is a group of online requests with one urgency.
type Class struct {
	// Name identifies the class.
	Name string `yaml:"name" validate:"required,max=64,label"`
	// Match selects the requests; an empty match selects all.
	Match Match `yaml:"match,omitempty"`
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration `yaml:"first_token" default:"480ms" validate:"gt=0"`
	// Weight is the class's share when more urgent classes leave room.
	Weight float64 `yaml:"weight" default:"1" validate:"gt=0"`
	// MinimumShare is the part of the capacity that more urgent classes leave.
	MinimumShare float64 `yaml:"minimum_share" default:"0.02" validate:"min=0,max=0.5"`
	// Repeat says whether the class's requests may run more than once.
	Repeat Repeat `yaml:"repeat" default:"allowed" validate:"oneof=allowed never"`
}

// Match selects requests by a header's value or a path prefix.
type Match struct {
	// Header is the name of a header that must have Value.
	Header string `yaml:"header,omitempty"`
	// Value is the header's wanted value.
	Value string `yaml:"value,omitempty"`
	// Path is the wanted beginning of the path.
	Path string `yaml:"path,omitempty"`
}

// Scope bounds how far from its entry host a request may run.
type Scope string

// Scopes, from narrow to wide.
const (
	ScopeDataCentre Scope = "data-centre"
	ScopeRegion     Scope = "region"
	ScopeAny        Scope = "any"
)

// Routing bounds where requests may go and for how long.
type Routing struct {
	// Scope bounds how far from its entry host a request may run.
	Scope Scope `yaml:"scope" default:"region" validate:"oneof=data-centre region any"`
	// Subset is the number of replicas that one host keeps connections to.
	Subset int `yaml:"subset" default:"40" validate:"min=1,max=1000"`
	// Concurrency is the running work per replica that admission aims at.
	Concurrency int `yaml:"concurrency" default:"16" validate:"min=1,max=100000"`
	// QueueLimit bounds the requests that wait on one host.
	QueueLimit int `yaml:"queue_limit" default:"1000" validate:"min=1,max=1000000"`
	// RequestTimeout bounds one request, streams included.
	RequestTimeout time.Duration `yaml:"request_timeout" default:"5m" validate:"gt=0"`
	// RetryBudget is the part of recent successes that may be spent on retries.
	RetryBudget float64 `yaml:"retry_budget" default:"0.1" validate:"min=0,max=1"`
	// MaxTries bounds the tries of one request.
	MaxTries int `yaml:"max_tries" default:"3" validate:"min=1,max=10"`
	// EjectLimit is the largest part of the replicas ejected at one time.
	EjectLimit float64 `yaml:"eject_limit" default:"0.3" validate:"min=0,max=1"`
	// SlowStart is the time over which a new replica reaches its full share.
	SlowStart time.Duration `yaml:"slow_start" default:"10s" validate:"min=0"`
}

// Batch steers batch jobs.
type Batch struct {
	// Enabled allows batch jobs.
	Enabled bool `yaml:"enabled" default:"true"`
	// ThroughputWeight goes from 0, only online tail latency counts, to 1,
	// only batch throughput counts.
	ThroughputWeight float64 `yaml:"throughput_weight" default:"0.5" validate:"min=0,max=1"`
	// TokenInterval is the online target for the time between tokens.
	TokenInterval time.Duration `yaml:"token_interval" default:"63ms" validate:"gt=0"`
	// MaxSlots bounds the batch items that run on one replica.
	MaxSlots int `yaml:"max_slots" default:"64" validate:"min=1,max=4096"`
	// Capacity is the number of sequences that a replica runs at one time
	// before it queues; zero finds it out from the queues.
	Capacity int `yaml:"capacity,omitempty" validate:"min=0,max=100000"`
	// SegmentItems is the number of items in one segment.
	SegmentItems int `yaml:"segment_items" default:"500" validate:"min=1,max=5000"`
	// MaxTries bounds the tries of one item that fails by itself.
	MaxTries int `yaml:"max_tries" default:"3" validate:"min=1,max=20"`
	// Retention is how long a finished job stays readable.
	Retention time.Duration `yaml:"retention" default:"720h" validate:"gt=0"`
	// ResendWindow is how long the same content without a key is the same job.
	ResendWindow time.Duration `yaml:"resend_window" default:"1h" validate:"gt=0"`
	// Due is the time to the due time of a job that names none.
	Due time.Duration `yaml:"due" default:"24h" validate:"gt=0"`
	// LateShare is the largest part of the batch capacity that jobs take which
	// will miss their due time, ahead of jobs that can still meet theirs.
	LateShare float64 `yaml:"late_share" default:"0.5" validate:"min=0,max=1"`
	// Resume says that the engines continue a broken answer, so that an item
	// that stepped aside keeps what it had produced.
	Resume bool `yaml:"resume" default:"true"`
	// Repeat says whether items may run more than once.
	Repeat Repeat `yaml:"repeat" default:"allowed" validate:"oneof=allowed never"`
}

// Ceilings are hard limits on cost in one period.
type Ceilings struct {
	// Period is the length of an accounting period.
	Period time.Duration `yaml:"period" default:"24h" validate:"gt=0"`
	// CrossRegionBytes bounds the bytes sent between regions in a period.
	CrossRegionBytes int64 `yaml:"cross_region_bytes" default:"0" validate:"min=0"`
	// Allotment is the number of bytes that a host takes at a time.
	Allotment int64 `yaml:"allotment" default:"1048576" validate:"min=1024"`
}

// Once steers requests that run at most once.
type Once struct {
	// Window is how long the ledger remembers a key.
	Window time.Duration `yaml:"window" default:"24h" validate:"gt=0"`
	// Shards is the number of ledger shards. It is fixed by the first request;
	// a later change has no effect.
	Shards int `yaml:"shards" default:"4" validate:"min=1,max=4096"`
}

// Quarantine steers the defence against requests that crash upstreams.
type Quarantine struct {
	// Enabled turns the defence on.
	Enabled bool `yaml:"enabled" default:"true"`
	// Duration is how long a confirmed request is refused.
	Duration time.Duration `yaml:"duration" default:"1h" validate:"gt=0"`
}

// Orders steers orders to engines.
type Orders struct {
	// Enabled lets the system order models, versions and roles.
	Enabled bool `yaml:"enabled,omitempty"`
	// Timeout bounds one order.
	Timeout time.Duration `yaml:"timeout" default:"10s" validate:"gt=0"`
	// ConcurrentLoads bounds loads of weights at one time in a data centre.
	ConcurrentLoads int `yaml:"concurrent_loads" default:"2" validate:"min=1"`
	// Floor is the part of the replicas that a rollout leaves serving.
	Floor float64 `yaml:"floor" default:"0.75" validate:"min=0,max=1"`
	// Soak is how long replicas in a new state serve before the next orders.
	Soak time.Duration `yaml:"soak" default:"30s" validate:"min=0"`
	// MinRequests is the number of requests in the old and in the new state
	// before their errors are compared.
	MinRequests int `yaml:"min_requests" default:"100" validate:"min=1"`
	// MaxErrorIncrease is the rise of the part of failed requests that stops a
	// rollout.
	MaxErrorIncrease float64 `yaml:"max_error_increase" default:"0.01" validate:"min=0,max=1"`
	// MaxLatencyRatio is the rise of the time between tokens that stops a
	// rollout.
	MaxLatencyRatio float64 `yaml:"max_latency_ratio" default:"1.25" validate:"min=1"`
}

// Answers reports whether the service answers to the model or service name.
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
