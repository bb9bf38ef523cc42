// Package configcheck examines a configuration before it is sent to the hosts. The
// findings are pure functions of decoded configurations. To agree with what hosts accept and
// match, the checks use the hosts' own types: the faults that decoding returns, route.Table
// and customer.Directory.
package configcheck

import (
	"strconv"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// Severity says how much a finding matters.
type Severity string

// The severities, the most serious one first.
const (
	// Error findings are parts of the configuration that hosts refuse or leave out.
	Error Severity = "error"
	// Warning findings are parts that hosts accept but that have no effect, or not the
	// one that they seem to have.
	Warning Severity = "warning"
	// Change findings are differences from the version in force.
	Change Severity = "change"
)

// Rule names the check that a finding comes from. The values are read by scripts.
type Rule string

// The rules.
const (
	// RuleUndecodable and RuleFault are the faults that hosts find when they decode a
	// configuration: all of it is refused, or a part of it is left out.
	RuleUndecodable Rule = "undecodable"
	RuleFault       Rule = "fault"
	// RuleVersion is a version that hosts don't put in force.
	RuleVersion Rule = "version"

	RuleIgnoredField      Rule = "ignored-field"
	RuleUnknownKind       Rule = "unknown-kind"
	RuleRouteUnreachable  Rule = "route-unreachable"
	RuleRouteHidden       Rule = "route-hidden"
	RuleUndefinedService  Rule = "undefined-service"
	RuleRepeatedService   Rule = "repeated-service"
	RuleUnusedService     Rule = "unused-service"
	RuleNoReplicas        Rule = "no-replicas"
	RuleNoKey             Rule = "no-key"
	RuleRepeatedKey       Rule = "repeated-key"
	RuleNegative          Rule = "negative"
	RuleWeights           Rule = "weights"
	RuleSmallBurst        Rule = "burst-below-one-request"
	RuleBurstWithoutRate  Rule = "burst-without-rate"
	RuleSmallQueue        Rule = "queue-below-one-job"
	RuleQueueWithoutBatch Rule = "queue-without-batch"
	RuleTargets           Rule = "contradictory-times"
	RulePublicBatch       Rule = "public-without-effect"
	RuleQuotaCapacity     Rule = "quota-above-capacity"

	RuleKeysNeeded      Rule = "keys-needed"
	RuleKeyRemoved      Rule = "key-removed"
	RuleKeyMoved        Rule = "key-moved"
	RuleCustomerAdded   Rule = "customer-added"
	RuleCustomerRemoved Rule = "customer-removed"
	RuleRouteAdded      Rule = "route-added"
	RuleRouteRemoved    Rule = "route-removed"
	RuleLowered         Rule = "lowered"
	RuleRaised          Rule = "raised"
	RuleChanged         Rule = "changed"
)

// List is the part of a configuration that a field belongs to.
type List uint8

// The lists. ListNone stands for the configuration itself.
const (
	ListNone List = iota
	ListRoutes
	ListServices
	ListCustomers
	// ListLimits is a section without entries.
	ListLimits
)

// Field is a field of an entry.
type Field uint8

// The fields. FieldNone stands for the entry itself.
const (
	FieldNone Field = iota
	FieldVersion
	FieldName
	FieldHost
	FieldPrefix
	FieldKind
	FieldTarget
	FieldWeight
	FieldTimeout
	FieldObjective
	FieldMaxGap
	FieldAttempts
	FieldPriority
	FieldResumable
	FieldRunTarget
	FieldRetention
	FieldMaxWaitingTokens
	FieldPublic
	FieldKeys
	FieldRate
	FieldBurst
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
)

// Place is where a finding is in a configuration.
type Place struct {
	List List
	// Entry is the position in the list, or negative for the whole list.
	Entry int
	Field Field
	// Item is the position in a field that is a list, a target or a key, or WholeField.
	Item int
}

// WholeField stands for a field that is a list, not for one of its items.
const WholeField = -1

// Finding is one result of a check. It never holds a key.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	// Field is the path of the field, as in routes[3].host.
	Field string `json:"field"`
	// InForce reports that Field is in the version in force.
	InForce bool `json:"in_force,omitempty"`
	// Value is the value found; of a key it is customer.KeyID.
	Value string `json:"value"`
	// Previous is the value in the version in force, if the finding is that it differs.
	Previous string `json:"previous,omitempty"`
	// Reason says what is wrong, or the effect of a change.
	Reason string `json:"reason"`
}

// Config is a decoded configuration with its entries in their order.
type Config struct {
	// Table is what hosts use of the configuration.
	Table     *route.Table
	Routes    []*route.Route
	Services  []route.Service
	Customers []customer.Definition
	// Decoding holds what decoding has found.
	Decoding []Finding
	// ReservedPaths are the path prefixes that no route is asked for.
	ReservedPaths []string
	// Path returns the path of a field.
	Path func(Place) string
}

// Environment is what is known of the place that a configuration is for. Checks that need
// a missing figure are not made.
type Environment struct {
	// Replicas are the replicas that run; nil means that they are not known.
	Replicas []*replica.Replica
	// SlotTime is the mean time for which a request uses a slot.
	SlotTime time.Duration
	// JobTokens are the tokens of one job.
	JobTokens int64
}

// Check returns the findings about a configuration. Without inForce, the version in force,
// there are no differences.
func Check(next, inForce *Config, env Environment) []Finding {
	c := &checker{
		config: next, env: env, definitions: definitionsInEffect(next), keys: make(map[string]bool),
		findings: append([]Finding(nil), next.Decoding...),
	}
	c.addKeys(next)
	if inForce != nil {
		c.addKeys(inForce)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkCapacity()
	if inForce != nil {
		compare(c, inForce)
	}
	for i := range c.findings {
		c.findings[i].Value, c.findings[i].Previous = c.withoutKey(c.findings[i].Value), c.withoutKey(c.findings[i].Previous)
	}
	return c.findings
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	count := 0
	for _, f := range findings {
		if f.Severity == s {
			count++
		}
	}
	return count
}

// checker collects findings about one configuration.
type checker struct {
	config *Config
	env    Environment
	// definitions are the positions of the customers that a host uses, by name.
	definitions map[string]int
	// keys are the keys of all customers, of the version in force too.
	keys     map[string]bool
	findings []Finding
}

func (c *checker) addKeys(config *Config) {
	for i := range config.Customers {
		for _, key := range config.Customers[i].Keys {
			c.keys[key] = key != ""
		}
	}
}

// withoutKey returns a value found, or what may be shown of it if it is a key: an operator
// may have written a key into another field by mistake.
func (c *checker) withoutKey(value string) string {
	text := value
	if unquoted, err := strconv.Unquote(value); err == nil {
		text = unquoted
	}
	if c.keys[text] {
		return "key " + customer.KeyID(text)
	}
	return value
}

// warn adds a warning.
func (c *checker) warn(rule Rule, at Place, value, reason string) {
	c.findings = append(c.findings, Finding{Severity: Warning, Rule: rule, Field: c.config.Path(at), Value: value, Reason: reason})
}
