// Package examples holds the example service documents.
package examples

import _ "embed"

// Kyushu is the document of a dispatch service that weighs throughput more.
//
//go:embed kyushu/dispatch-llm.yaml
var Kyushu []byte

// BlueMountain is the document of an order desk that weighs online tail
// latency more.
//
//go:embed blue-mountain/order-desk.yaml
var BlueMountain []byte

// API keys of the example documents' callers.
const (
	KeyCrews      = "demo-crews"
	KeyOrganisers = "demo-organisers"
	KeyRouteDesk  = "demo-route-desk"
	KeyMembers    = "demo-members"
	KeyDesk       = "demo-desk"
)
