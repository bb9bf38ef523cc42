package configcheck

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/route"
)

func routePlace(i int, f Field) Place    { return Place{List: ListRoutes, Entry: i, Field: f} }
func customerPlace(i int, f Field) Place { return Place{List: ListCustomers, Entry: i, Field: f} }
func keyPlace(i, key int) Place {
	return Place{List: ListCustomers, Entry: i, Field: FieldKeys, Item: key}
}

func (c *checker) checkRoutes() {
	for i, r := range c.config.Routes {
		c.checkReachable(i, r)
		c.checkTargets(i, r)
		c.checkRouteLimits(i, r)
	}
}

// checkReachable reports a route that no request, or no usual one, matches.
func (c *checker) checkReachable(i int, r *route.Route) {
	if r.Host == "" {
		c.warn(RuleRouteUnreachable, routePlace(i, FieldHost), "", "only requests without a host name match the route")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		c.warn(RuleRouteUnreachable, routePlace(i, FieldPrefix), r.Prefix, "no request matches the route: paths begin with a slash")
		return
	}
	for _, reserved := range c.config.ReservedPaths {
		if strings.HasPrefix(r.Prefix, reserved) {
			c.warn(RuleRouteUnreachable, routePlace(i, FieldPrefix), r.Prefix, "no request matches the route: calls about jobs use the path")
			return
		}
	}
	if first := c.config.Table.Match(r.Host, r.Prefix); first != r {
		c.warn(RuleRouteHidden, routePlace(i, FieldPrefix), r.Prefix, "no request matches the route: an earlier one, "+c.routeName(first)+", has the same host name and prefix")
	}
}

// routeName returns how findings name a route.
func (c *checker) routeName(r *route.Route) string {
	if r.Name != "" {
		return strconv.Quote(c.withoutKey(r.Name))
	}
	return strconv.Quote(r.Host + r.Prefix)
}

func (c *checker) checkTargets(i int, r *route.Route) {
	total := 0
	for j, t := range r.Targets {
		total += t.Weight
		at := Place{List: ListRoutes, Entry: i, Field: FieldTarget, Item: j}
		if _, ok := c.config.Table.ServiceOf(t.Service); !ok {
			c.warn(RuleUndefinedService, at, t.Service, "the configuration has no service of the name")
		}
		if c.env.Replicas != nil && (t.Weight > 0 || len(r.Targets) == 1) && c.slots(t.Service) == 0 {
			c.warn(RuleNoReplicas, at, t.Service, "the service has no ready replica, so requests are refused")
		}
		if t.Weight < 0 {
			at.Field = FieldWeight
			c.warn(RuleWeights, at, strconv.Itoa(t.Weight), "a weight below 0 takes requests from other targets")
		}
	}
	if total <= 0 {
		c.warn(RuleWeights, Place{List: ListRoutes, Entry: i, Field: FieldWeight, Item: WholeField}, strconv.Itoa(total), "no target has a weight, so the first one gets all requests")
	}
}

// slots returns the number of slots of the ready replicas of a service.
func (c *checker) slots(service string) int {
	slots := 0
	for _, r := range c.env.Replicas {
		if r.Service == service && r.Ready {
			slots += r.Slots
		}
	}
	return slots
}

func (c *checker) checkRouteLimits(i int, r *route.Route) {
	for _, n := range []struct {
		field Field
		value int64
	}{
		{FieldTimeout, r.Timeout.Milliseconds()},
		{FieldObjective, r.Objective.Milliseconds()},
		{FieldMaxGap, r.MaxGap.Milliseconds()},
		{FieldPriority, int64(r.Priority)},
		{FieldRunTarget, r.RunTarget.Milliseconds()},
		{FieldRetention, r.Retention.Milliseconds()},
		{FieldMaxWaitingTokens, r.MaxWaitingTokens},
	} {
		if n.value < 0 {
			c.warn(RuleNegative, routePlace(i, n.field), strconv.FormatInt(n.value, 10), "the value must not be below 0")
		}
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.warn(RuleTargets, routePlace(i, FieldObjective), r.Objective.String(), fmt.Sprintf("a response must be complete after %s, before its first byte is due", r.Timeout))
	}
	switch {
	case r.Kind != route.Batch:
	case r.Retention == 0:
		c.warn(RuleTargets, routePlace(i, FieldRetention), "0s", "items that have not been run at once are given up")
	case r.RunTarget > r.Retention:
		c.warn(RuleTargets, routePlace(i, FieldRunTarget), r.RunTarget.String(), fmt.Sprintf("items are given up after %s, before their results are due", r.Retention))
	}
	if r.Kind == route.Batch && r.Public && c.config.Table.HasCustomers() && !c.config.Table.PublicBatch(r.Host) {
		c.warn(RulePublicBatch, routePlace(i, FieldPublic), "true", "submissions need a key all the same: another batch route of the host name is not public")
	}
	c.checkQueue(i, r)
}

// checkQueue checks the limit of waiting tokens.
func (c *checker) checkQueue(i int, r *route.Route) {
	waiting := strconv.FormatInt(r.MaxWaitingTokens, 10)
	switch {
	case r.MaxWaitingTokens <= 0:
	case r.Kind != route.Batch:
		c.warn(RuleQueueWithoutBatch, routePlace(i, FieldMaxWaitingTokens), waiting, "the limit has no effect: the route accepts no jobs")
	case r.MaxWaitingTokens < c.env.JobTokens:
		c.warn(RuleSmallQueue, routePlace(i, FieldMaxWaitingTokens), waiting, fmt.Sprintf("a job of %d tokens never fits and is always refused", c.env.JobTokens))
	}
}

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.config.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, s := range c.config.Services {
		at := Place{List: ListServices, Entry: i, Field: FieldName}
		if c.repeatedLater(i) {
			c.warn(RuleRepeatedService, at, s.Name, "a later service of the name replaces this one")
		} else if !used[s.Name] {
			c.warn(RuleUnusedService, at, s.Name, "no route leads to the service")
		}
	}
}

// repeatedLater reports whether a service after the i-th has its name.
func (c *checker) repeatedLater(i int) bool {
	for _, later := range c.config.Services[i+1:] {
		if later.Name == c.config.Services[i].Name {
			return true
		}
	}
	return false
}

func (c *checker) checkCustomers() {
	for _, served := range c.config.Table.Customers.All() {
		i := c.definitions[served.Name]
		c.checkKeys(i, &c.config.Customers[i])
		c.checkQuota(i, served.Quota)
	}
}

// definitionsInEffect returns the positions of the definitions that a host uses, by name:
// they are not left out, and no earlier one has their name.
func definitionsInEffect(config *Config) map[string]int {
	positions := make(map[string]int, len(config.Customers))
	for i := range config.Customers {
		name := config.Customers[i].Name
		_, seen := positions[name]
		if _, ok := config.Table.Customers.ByName(name); ok && !seen {
			positions[name] = i
		}
	}
	return positions
}

func (c *checker) checkKeys(i int, d *customer.Definition) {
	usable := false
	seen := make(map[string]bool, len(d.Keys))
	for j, key := range d.Keys {
		if key == "" {
			continue
		}
		if seen[key] {
			c.warn(RuleRepeatedKey, keyPlace(i, j), customer.KeyID(key), "the customer has the key twice")
		}
		seen[key] = true
		_, known := c.config.Table.Customers.ByKey(key)
		usable = usable || known
	}
	if !usable {
		c.warn(RuleNoKey, keyPlace(i, WholeField), strconv.Itoa(len(d.Keys)), fmt.Sprintf("customer %q has no key that hosts accept, so it can send no requests", c.withoutKey(d.Name)))
	}
}

func (c *checker) checkQuota(i int, q customer.Quota) {
	burst := formatNumber(q.Burst)
	switch {
	case q.Limited() && q.Burst < 1:
		c.warn(RuleSmallBurst, customerPlace(i, FieldBurst), burst, "the burst is below one request, so only the slack of quotas admits any")
	case !q.Limited() && q.Burst > 0:
		c.warn(RuleBurstWithoutRate, customerPlace(i, FieldBurst), burst, "the burst has no effect: without a rate the customer is not limited")
	}
}

// checkCapacity reports quotas above what replicas can run if each request uses a slot for
// SlotTime.
func (c *checker) checkCapacity() {
	if c.env.Replicas == nil || c.env.SlotTime <= 0 {
		return
	}
	capacity := float64(c.onlineSlots()) / c.env.SlotTime.Seconds()
	sum := 0.0
	for _, served := range c.config.Table.Customers.All() {
		rate := served.Quota.PerSecond
		sum += rate
		if rate > capacity {
			c.warn(RuleQuotaCapacity, customerPlace(c.definitions[served.Name], FieldRate), formatNumber(rate), fmt.Sprintf("the replicas serve %s requests per second", formatNumber(capacity)))
		}
	}
	if sum > capacity {
		c.warn(RuleQuotaCapacity, Place{List: ListCustomers, Entry: -1}, formatNumber(sum), fmt.Sprintf("the sum of all rates is above the %s requests per second that the replicas serve", formatNumber(capacity)))
	}
}

// onlineSlots returns the slots of the services that requests with a quota may reach.
func (c *checker) onlineSlots() int {
	services := make(map[string]bool)
	for _, r := range c.config.Routes {
		if r.Kind == route.Batch || r.Public {
			continue
		}
		for _, t := range r.Targets {
			services[t.Service] = true
		}
	}
	slots := 0
	for name := range services {
		slots += c.slots(name)
	}
	return slots
}

// formatNumber formats a rate or a number of requests.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
