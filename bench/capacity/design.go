// Package capacity works out what each role of the system costs at a design
// size from slopes measured on one machine.
package capacity

// Design is a size to work out the cost for.
type Design struct {
	Hosts        float64
	Replicas     float64
	DataCentres  float64
	Services     float64
	Callers      float64
	Requests     float64 // a second
	Tokens       float64 // a second
	Items        float64 // batch items a day
	Jobs         float64 // batch jobs a day
	Changes      float64 // of documents, a day
	OnceShare    float64 // the part of requests that run at most once
	SegmentItems float64
	Subset       float64 // replicas that one host keeps connections to
	// Dispatch is the number of replicas that one dispatcher serves.
	Dispatch float64
	// Shards is the number of ledger shards of one service.
	Shards float64
	// HeldSeconds is the mean length of a request.
	HeldSeconds float64
}

// TwoYears is the size that the users plan for.
func TwoYears() Design {
	return Design{
		Hosts: 2200, Replicas: 10000, DataCentres: 10, Services: 17, Callers: 7000,
		Requests: 93000, Tokens: 40e6, Items: 51e6, Jobs: 15000, Changes: 62000,
		OnceShare: 0.02, SegmentItems: 500, Subset: 40, Dispatch: 40, Shards: 16, HeldSeconds: 10,
	}
}

// Budgets are the users' bounds.
type Budgets struct {
	// CPU is the part of a core, Bytes the memory and Traffic the bytes a
	// second that one host may spend on control.
	CPU     float64
	Bytes   float64
	Traffic float64
	// Writes and Reads are the calls a second that the platform's service
	// takes; each waiting watch counts as a read.
	Writes float64
	Reads  float64
}

// UserBudgets returns the users' bounds.
func UserBudgets() Budgets {
	return Budgets{CPU: 0.015, Bytes: 64 << 20, Traffic: 2048, Writes: 400, Reads: 2000}
}

const secondsPerDay = 86400

// Slopes are measured costs.
type Slopes struct {
	// RequestCPU and TokenCPU are processor seconds of the hop.
	RequestCPU float64 `json:"request_cpu_s"`
	TokenCPU   float64 `json:"token_cpu_s"`
	// HeldBytes is the memory of one running stream.
	HeldBytes float64 `json:"held_bytes"`
	// Idle costs of one host grow with the hosts of its data centre.
	IdleCPU     Line `json:"idle_cpu"`
	IdleBytes   Line `json:"idle_bytes"`
	IdleTraffic Line `json:"idle_traffic"`
	// IdleReads are the platform calls a second of one whole data centre.
	IdleReads Line `json:"idle_reads"`
	// ChoiceCPU grows with the candidates.
	ChoiceCPU Line `json:"choice_cpu"`
	// DocumentBytes and DocumentCPU, to parse a document, grow with its
	// upstreams.
	DocumentBytes Line `json:"document_bytes"`
	DocumentCPU   Line `json:"document_cpu"`
	// SnapshotBytes is the memory of a document in force.
	SnapshotBytes Line `json:"snapshot_bytes"`
	// AuthCPU looks up an API key; it does not grow with the callers.
	AuthCPU Line `json:"auth_cpu"`
	// EventCPU and EventBytes are the cost of one event of the time line.
	EventCPU   float64 `json:"event_cpu_s"`
	EventBytes float64 `json:"event_bytes"`
	// ClaimCalls are platform calls a second of one busy ledger shard.
	ClaimCalls float64 `json:"claim_calls"`
	// ItemCalls and ItemBytes are platform calls and bytes an item of a job.
	ItemCalls float64 `json:"item_calls"`
	ItemBytes float64 `json:"item_bytes"`
}

// Line is a cost that grows as Base + Slope * n, fitted over Points.
type Line struct {
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	Points []Point `json:"points"`
}

// Point is one measurement of a line.
type Point struct {
	N     float64 `json:"n"`
	Value float64 `json:"value"`
}

// At returns the line's value at n, at least zero.
func (l Line) At(n float64) float64 { return max(0, l.Base+l.Slope*n) }

// Flat returns the line's value at n, but no less than at the largest size that
// was measured: a cost that falls with n is not taken to fall further.
func (l Line) Flat(n float64) float64 {
	if len(l.Points) == 0 {
		return l.At(n)
	}
	return max(l.At(n), l.Points[len(l.Points)-1].Value)
}

// Row is the cost of one role on the host that carries most of it.
type Row struct {
	Role string `json:"role"`
	// State says what the role keeps.
	State string `json:"state"`
	// CPU is in parts of a core, Bytes is memory, Traffic bytes a second to
	// other hosts.
	CPU     float64 `json:"cpu"`
	Bytes   float64 `json:"bytes"`
	Traffic float64 `json:"traffic"`
	// Writes and Reads are calls a second to the platform's service, over all
	// hosts.
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
	// Data marks the cost of serving requests, which is not control.
	Data      bool   `json:"data,omitempty"`
	Mechanism string `json:"mechanism"`
}
