package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// comparison adds the differences between the checked configuration and the one in force.
type comparison struct {
	*checker
	previous *Config
	// previousDefinitions are the positions of the customers in force, by name.
	previousDefinitions map[string]int
}

func compare(c *checker, previous *Config) {
	d := comparison{checker: c, previous: previous, previousDefinitions: definitionsInEffect(previous)}
	d.compareVersions()
	d.compareLimits()
	d.compareRoutes()
	d.compareNeedForKeys()
	d.compareCustomers()
	d.compareKeys()
}

// change adds a difference at a place of the checked configuration.
func (d *comparison) change(rule Rule, at Place, previous, value, effect string) {
	d.findings = append(d.findings, Finding{
		Severity: Change, Rule: rule, Field: d.config.Path(at), Value: value, Previous: previous, Reason: effect,
	})
}

// removal adds a difference at a place of the version in force.
func (d *comparison) removal(rule Rule, at Place, value, effect string) {
	d.findings = append(d.findings, Finding{
		Severity: Change, Rule: rule, Field: d.previous.Path(at), InForce: true, Value: value, Reason: effect,
	})
}

func (d *comparison) compareVersions() {
	next, previous := d.config.Table, d.previous.Table
	if next.Replaces(previous) {
		return
	}
	d.findings = append(d.findings, Finding{
		Severity: Error, Rule: RuleVersion, Field: d.config.Path(Place{Field: FieldVersion}),
		Value: strconv.FormatInt(next.Version, 10), Previous: strconv.FormatInt(previous.Version, 10),
		Reason: "hosts put only a version in force that is newer than the present one",
	})
}

// bound is a value of which zero may mean that there is no bound.
type bound struct {
	field          Field
	previous, next float64
	// zeroIsNone says that zero is no bound, so that it is the highest value.
	zeroIsNone bool
	// format formats a value.
	format func(float64) string
	// rule is the rule of the finding if it is neither RuleLowered nor RuleRaised.
	rule Rule
	// lowered and raised are the effects.
	lowered, raised string
}

// text formats a value.
func (b *bound) text(v float64) string {
	if b.zeroIsNone && v == 0 {
		return "none"
	}
	return b.format(v)
}

func (d *comparison) compareBound(at Place, b bound) {
	if b.previous == b.next {
		return
	}
	at.Field = b.field
	order := cmp.Compare(b.next, b.previous)
	if b.zeroIsNone && (b.next == 0 || b.previous == 0) {
		order = -order
	}
	rule, effect := RuleRaised, b.raised
	if order < 0 {
		rule, effect = RuleLowered, b.lowered
	}
	d.change(cmp.Or(b.rule, rule), at, b.text(b.previous), b.text(b.next), effect)
}

func formatMillis(ms float64) string { return (time.Duration(ms) * time.Millisecond).String() }
func formatCount(n float64) string   { return strconv.FormatInt(int64(n), 10) }
func millis(v time.Duration) float64 { return float64(v.Milliseconds()) }

func (d *comparison) compareLimits() {
	next, previous := d.config.Table.Limits, d.previous.Table.Limits
	at := Place{List: ListLimits}
	for _, b := range []bound{
		{field: FieldHeaderBytes, previous: float64(previous.HeaderBytes), next: float64(next.HeaderBytes), format: formatCount, lowered: "requests with larger headers are refused", raised: "requests may have larger headers"},
		{field: FieldBodyBytes, previous: float64(previous.BodyBytes), next: float64(next.BodyBytes), format: formatCount, lowered: "requests with larger bodies are refused", raised: "requests may have larger bodies"},
		{field: FieldHeaderTimeout, previous: millis(previous.HeaderTimeout), next: millis(next.HeaderTimeout), format: formatMillis, lowered: "callers that send their headers more slowly are disconnected", raised: "callers may send their headers more slowly"},
		{field: FieldIdleTimeout, previous: millis(previous.IdleTimeout), next: millis(next.IdleTimeout), format: formatMillis, lowered: "idle connections are closed earlier", raised: "idle connections are closed later"},
	} {
		b.zeroIsNone = true
		d.compareBound(at, b)
	}
}

func (d *comparison) compareRoutes() {
	for i, old := range d.previous.Routes {
		if d.previous.Table.Match(old.Host, old.Prefix) != old {
			continue
		}
		next := d.config.Table.Match(old.Host, old.Prefix)
		switch {
		case next == nil:
			d.removal(RuleRouteRemoved, routePlace(i, FieldNone), old.Host+old.Prefix, "requests get 404, and unfinished items of jobs are given up")
		case next.Prefix != old.Prefix:
			d.removal(RuleRouteRemoved, routePlace(i, FieldNone), old.Host+old.Prefix, "requests are handled by route "+d.routeName(next))
		default:
			d.compareRoute(slices.Index(d.config.Routes, next), old, next)
		}
	}
	for i, next := range d.config.Routes {
		if d.config.Table.Match(next.Host, next.Prefix) != next {
			continue
		}
		old := d.previous.Table.Match(next.Host, next.Prefix)
		switch {
		case old == nil:
			d.change(RuleRouteAdded, routePlace(i, FieldNone), "", next.Host+next.Prefix, "requests got 404 before")
		case old.Prefix != next.Prefix:
			d.change(RuleRouteAdded, routePlace(i, FieldNone), "", next.Host+next.Prefix, "requests were handled by route "+d.routeName(old)+" before")
		}
	}
}

func (d *comparison) compareRoute(i int, old, next *route.Route) {
	at := routePlace(i, FieldNone)
	for _, b := range []bound{
		{field: FieldTimeout, previous: millis(old.Timeout), next: millis(next.Timeout), zeroIsNone: true, format: formatMillis, lowered: "responses must be complete earlier", raised: "responses may take longer"},
		{field: FieldObjective, previous: millis(old.Objective), next: millis(next.Objective), zeroIsNone: true, format: formatMillis, lowered: "more requests are refused because they can't begin in time", raised: "requests may wait longer"},
		{field: FieldMaxGap, previous: millis(old.MaxGap), next: millis(next.MaxGap), zeroIsNone: true, format: formatMillis, lowered: "streams are given up earlier when events fail to come", raised: "streams may pause for longer"},
		{field: FieldAttempts, previous: float64(old.MaxAttempts), next: float64(next.MaxAttempts), format: formatCount, lowered: "requests fail after fewer attempts", raised: "requests may be attempted more often"},
		{field: FieldPriority, previous: float64(old.Priority), next: float64(next.Priority), rule: RuleChanged, format: formatCount, lowered: "requests go before more others", raised: "requests go after more others: 0 is the highest priority"},
		{field: FieldRunTarget, previous: millis(old.RunTarget), next: millis(next.RunTarget), format: formatMillis, lowered: "results are due earlier", raised: "results are due later"},
		{field: FieldRetention, previous: millis(old.Retention), next: millis(next.Retention), format: formatMillis, lowered: "unfinished items are given up earlier", raised: "unfinished items are retried for longer"},
		{field: FieldMaxWaitingTokens, previous: float64(old.MaxWaitingTokens), next: float64(next.MaxWaitingTokens), zeroIsNone: true, format: formatCount, lowered: "jobs are refused while fewer tokens wait", raised: "more tokens may wait before jobs are refused"},
	} {
		d.compareBound(at, b)
	}
	d.compareText(routePlace(i, FieldKind), kindName(old.Kind), kindName(next.Kind), "whether requests may be repeated, and how they are answered, changes")
	d.compareText(routePlace(i, FieldResumable), strconv.FormatBool(old.Resumable), strconv.FormatBool(next.Resumable), "whether a stream may be continued on another replica changes")
	d.compareText(Place{List: ListRoutes, Entry: i, Field: FieldTarget, Item: WholeField}, d.targets(old), d.targets(next), "requests are divided differently among services")
	if d.config.Table.HasCustomers() {
		effect := "requests need no key any more, and replicas don't learn whose they are"
		if !next.Public {
			effect = "requests without a key get 401"
		}
		d.compareText(routePlace(i, FieldPublic), strconv.FormatBool(old.Public), strconv.FormatBool(next.Public), effect)
	}
}

func (d *comparison) compareText(at Place, previous, next, effect string) {
	if previous != next {
		d.change(RuleChanged, at, previous, next, effect)
	}
}

// kindName returns how findings name a kind.
func kindName(k route.Kind) string {
	switch k {
	case route.Idempotent:
		return "idempotent"
	case route.Stream:
		return "stream"
	case route.Batch:
		return "batch"
	default:
		return "at most once"
	}
}

// targets returns the targets of a route as text, such as "a:90 b:10".
func (d *comparison) targets(r *route.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	names := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		names = append(names, fmt.Sprintf("%s:%d", d.withoutKey(t.Service), t.Weight))
	}
	return strings.Join(names, " ")
}

// compareNeedForKeys reports that requests begin or cease to need keys.
func (d *comparison) compareNeedForKeys() {
	needed, before := d.config.Table.HasCustomers(), d.previous.Table.HasCustomers()
	if needed == before {
		return
	}
	effect := "requests need no keys any more, and all jobs can be read by everybody"
	if needed {
		effect = "requests without a key get 401, except on public routes"
	}
	d.change(RuleKeysNeeded, Place{List: ListCustomers, Entry: -1}, strconv.Itoa(len(d.previous.Customers)), strconv.Itoa(len(d.config.Customers)), effect)
}

func (d *comparison) compareCustomers() {
	if !d.config.Table.HasCustomers() {
		return
	}
	for _, old := range d.previous.Table.Customers.All() {
		next, ok := d.config.Table.Customers.ByName(old.Name)
		if !ok {
			d.removal(RuleCustomerRemoved, customerPlace(d.previousDefinitions[old.Name], FieldNone), old.Name, "the customer is gone or left out; its jobs continue")
			continue
		}
		d.compareCustomer(d.definitions[next.Name], old, next)
	}
	for _, next := range d.config.Table.Customers.All() {
		if _, ok := d.previous.Table.Customers.ByName(next.Name); !ok {
			d.change(RuleCustomerAdded, customerPlace(d.definitions[next.Name], FieldNone), "", next.Name, "the customer's keys are accepted")
		}
	}
}

func (d *comparison) compareCustomer(i int, old, next *customer.Customer) {
	at := customerPlace(i, FieldNone)
	bounds := []bound{
		{field: FieldPriority, previous: float64(old.Priority), next: float64(next.Priority), rule: RuleChanged, format: formatCount, lowered: "requests go before those of more customers", raised: "requests go after those of more customers: 0 is the highest priority"},
		{field: FieldRate, previous: old.Quota.PerSecond, next: next.Quota.PerSecond, zeroIsNone: true, format: formatNumber, lowered: "requests above the rate get 429", raised: "fewer requests get 429"},
	}
	if old.Quota.Limited() && next.Quota.Limited() {
		bounds = append(bounds, bound{field: FieldBurst, previous: old.Quota.Burst, next: next.Quota.Burst, format: formatNumber, lowered: "fewer requests may come together before some get 429", raised: "more requests may come together"})
	}
	for _, b := range bounds {
		d.compareBound(at, b)
	}
}

// compareKeys reports the keys that hosts accept of no customer, or of another one, than
// before.
func (d *comparison) compareKeys() {
	if !d.config.Table.HasCustomers() {
		return
	}
	for _, old := range d.previous.Table.Customers.All() {
		i := d.previousDefinitions[old.Name]
		seen := make(map[string]bool)
		for j, key := range d.previous.Customers[i].Keys {
			if owner, known := d.previous.Table.Customers.ByKey(key); !known || owner != old || seen[key] {
				continue
			}
			seen[key] = true
			d.compareKey(keyPlace(i, j), key, old.Name)
		}
	}
}

func (d *comparison) compareKey(at Place, key, owner string) {
	next, known := d.config.Table.Customers.ByKey(key)
	switch {
	case !known:
		d.removal(RuleKeyRemoved, at, customer.KeyID(key), fmt.Sprintf("requests with this key of customer %q get 401", d.withoutKey(owner)))
	case next.Name != owner:
		d.removal(RuleKeyMoved, at, customer.KeyID(key), fmt.Sprintf("requests with this key of customer %q are those of customer %q, and reach only its jobs", d.withoutKey(owner), d.withoutKey(next.Name)))
	}
}
