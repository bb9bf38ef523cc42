package configcheck_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/configcheck"
	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// lists and fields are how the rows of the tests write places.
var (
	lists  = []string{"", "route", "service", "customer", "limits"}
	fields = []string{
		"", "version", "name", "host", "prefix", "kind", "target", "weight", "timeout", "objective", "gap", "attempts", "priority",
		"resumable", "runTarget", "retention", "waiting", "public", "keys", "rate", "burst", "headerBytes", "bodyBytes", "headerTimeout", "idleTimeout",
	}
)

// online, batch and definition return entries without faults.
func online(edit func(r *route.Route)) *route.Route {
	r := &route.Route{Name: "online", Host: "h", Prefix: "/", Kind: route.Stream, Targets: []route.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}
	if edit != nil {
		edit(r)
	}
	return r
}

func batch(edit func(r *route.Route)) *route.Route {
	return online(func(r *route.Route) {
		r.Name, r.Prefix, r.Kind, r.RunTarget, r.Retention, r.MaxWaitingTokens = "batch", "/b/", route.Batch, time.Second, time.Minute, 1000
		if edit != nil {
			edit(r)
		}
	})
}

func define(name string, rate, burst float64, keys ...string) customer.Definition {
	return customer.Definition{Customer: customer.Customer{Name: name, Quota: customer.Quota{PerSecond: rate, Burst: burst}}, Keys: keys}
}

// config returns the configuration of the entries, which may be routes, services,
// definitions, limits and a version.
func config(entries ...any) *configcheck.Config {
	c := &configcheck.Config{ReservedPaths: []string{"/reserved/"}, Services: []route.Service{{Name: "s"}}}
	version, limits := int64(1), route.Limits{}
	for _, entry := range entries {
		switch e := entry.(type) {
		case *route.Route:
			c.Routes = append(c.Routes, e)
		case route.Service:
			c.Services = append(c.Services, e)
		case customer.Definition:
			c.Customers = append(c.Customers, e)
		case route.Limits:
			limits = e
		case int:
			version = int64(e)
		}
	}
	if c.Routes == nil {
		c.Routes = []*route.Route{online(nil)}
	}
	c.Table = route.NewTable(version, limits, c.Routes, c.Services)
	c.Table.Customers, _ = customer.NewDirectory(c.Customers)
	c.Path = func(p configcheck.Place) string {
		return fmt.Sprintf("%s %d %s %d", lists[p.List], p.Entry, fields[p.Field], p.Item)
	}
	return c
}

// requireFindings checks rule, place and values of the findings, and that no key is in them.
func requireFindings(t *testing.T, want []string, got []configcheck.Finding) {
	t.Helper()
	var lines []string
	for _, f := range got {
		require.NotEmpty(t, f.Reason)
		require.NotContains(t, fmt.Sprint(f), "secret")
		line := fmt.Sprintf("%s: %s: %s", f.Rule, f.Field, f.Value)
		if f.Previous != "" {
			line = fmt.Sprintf("%s: %s: %s -> %s", f.Rule, f.Field, f.Previous, f.Value)
		}
		if f.InForce {
			line = "in force: " + line
		}
		lines = append(lines, line)
	}
	require.Equal(t, want, lines)
}

// An entry that can't have its effect must be reported at its field, and nothing else of
// the configuration.
func TestEntries(t *testing.T) {
	rows := []struct {
		name    string
		entries []any
		want    []string
	}{
		{"nothing wrong", []any{online(nil), batch(nil), define("a", 1, 1, "secret1"), define("b", 0, 0, "secret2")}, nil},
		{"longer prefix first", []any{online(func(r *route.Route) { r.Prefix = "/a/" }), online(nil)}, nil},
		{"same prefix twice", []any{online(nil), online(nil)}, []string{"route-hidden: route 1 prefix 0: /"}},
		{"same prefix of another host", []any{online(nil), online(func(r *route.Route) { r.Host = "g" })}, nil},
		{"prefix without slash", []any{online(func(r *route.Route) { r.Prefix = "a/" })}, []string{"route-unreachable: route 0 prefix 0: a/"}},
		{"reserved prefix", []any{online(func(r *route.Route) { r.Prefix = "/reserved/a/" })}, []string{"route-unreachable: route 0 prefix 0: /reserved/a/"}},
		{"no host", []any{online(func(r *route.Route) { r.Host = "" })}, []string{"route-unreachable: route 0 host 0: "}},
		{"undefined service", []any{online(func(r *route.Route) { r.Targets = append(r.Targets, route.Target{Service: "t", Weight: 1}) })}, []string{"undefined-service: route 0 target 1: t"}},
		{"weight below 0", []any{online(func(r *route.Route) { r.Targets = append(r.Targets, route.Target{Service: "s", Weight: -1}) })}, []string{"weights: route 0 weight 1: -1", "weights: route 0 weight -1: 0"}},
		{"target without weight", []any{online(func(r *route.Route) { r.Targets = append(r.Targets, route.Target{Service: "s"}) })}, nil},
		{"unused service", []any{route.Service{Name: "t"}}, []string{"unused-service: service 1 name 0: t"}},
		{"repeated service", []any{route.Service{Name: "s"}}, []string{"repeated-service: service 0 name 0: s"}},
		{"first byte due after the end", []any{online(func(r *route.Route) { r.Timeout, r.Objective = time.Second, 2*time.Second })}, []string{"contradictory-times: route 0 objective 0: 2s"}},
		{"no bound of time", []any{online(func(r *route.Route) { r.Objective = 2 * time.Second })}, nil},
		{"negative numbers", []any{batch(func(r *route.Route) { r.Priority, r.MaxWaitingTokens = -1, -5 })}, []string{"negative: route 0 priority 0: -1", "negative: route 0 waiting 0: -5"}},
		{"given up before due", []any{batch(func(r *route.Route) { r.RunTarget = time.Hour })}, []string{"contradictory-times: route 0 runTarget 0: 1h0m0s"}},
		{"given up at once", []any{batch(func(r *route.Route) { r.Retention = 0 })}, []string{"contradictory-times: route 0 retention 0: 0s"}},
		{"queue below one job", []any{batch(func(r *route.Route) { r.MaxWaitingTokens = 499 })}, []string{"queue-below-one-job: route 0 waiting 0: 499"}},
		{"queue of one job", []any{batch(func(r *route.Route) { r.MaxWaitingTokens = 500 })}, nil},
		{"queue without jobs", []any{online(func(r *route.Route) { r.MaxWaitingTokens = 1 })}, []string{"queue-without-batch: route 0 waiting 0: 1"}},
		{"public beside one that is not", []any{batch(func(r *route.Route) { r.Public = true }), batch(func(r *route.Route) { r.Prefix = "/c/" }), define("a", 0, 0, "secret1")}, []string{"public-without-effect: route 0 public 0: true"}},
		{"no key", []any{define("a", 0, 0), define("b", 0, 0, "secret1")}, []string{"no-key: customer 0 keys -1: 0"}},
		{"key of two customers", []any{define("a", 0, 0, "secret1"), define("b", 0, 0, "secret1", "secret2")}, []string{"no-key: customer 0 keys -1: 1"}},
		{"key twice", []any{define("a", 0, 0, "secret1", "secret1")}, []string{"repeated-key: customer 0 keys 1: " + customer.KeyID("secret1")}},
		{"key as name", []any{define("secret1", 0, 0), define("a", 0, 0, "secret1")}, []string{"no-key: customer 0 keys -1: 0"}},
		{"key as service", []any{route.Service{Name: "secret1"}, define("a", 0, 0, "secret1")}, []string{"unused-service: service 1 name 0: key " + customer.KeyID("secret1")}},
		{"left out", []any{define("a", -1, 0), define("b", 0, 0, "secret1"), define("b", 0, 0)}, nil},
		{"burst below one request", []any{define("a", 2, 0.5, "secret1")}, []string{"burst-below-one-request: customer 0 burst 0: 0.5"}},
		{"burst without rate", []any{define("a", 0, 2, "secret1")}, []string{"burst-without-rate: customer 0 burst 0: 2"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := configcheck.Check(config(row.entries...), nil, configcheck.Environment{JobTokens: 500})
			requireFindings(t, row.want, got)
			require.Equal(t, len(row.want), configcheck.Count(got, configcheck.Warning))
		})
	}
}

// Quotas must be compared with what ready replicas serve, and not at all if that is not
// known.
func TestReplicas(t *testing.T) {
	ready := &replica.Replica{Service: "s", Slots: 8, Ready: true}
	leaving := &replica.Replica{Service: "s", Slots: 8}
	tooMuch, sum := "quota-above-capacity: customer 0 rate 0: 5", "quota-above-capacity: customer -1  0: 6"
	rows := []struct {
		name     string
		replicas []*replica.Replica
		slotTime time.Duration
		want     []string
	}{
		{"not known", nil, time.Second, nil},
		{"none", []*replica.Replica{}, 0, []string{"no-replicas: route 0 target 0: s"}},
		{"leaving", []*replica.Replica{leaving}, 0, []string{"no-replicas: route 0 target 0: s"}},
		{"slot time not known", []*replica.Replica{ready}, 0, nil},
		{"enough", []*replica.Replica{ready}, time.Second, nil},
		{"enough for each but not for all", []*replica.Replica{ready}, 1500 * time.Millisecond, []string{sum}},
		{"too few", []*replica.Replica{ready}, 2 * time.Second, []string{tooMuch, sum}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := config(online(nil), define("a", 5, 5, "secret1"), define("b", 1, 1, "secret2"))
			requireFindings(t, row.want, configcheck.Check(c, nil, configcheck.Environment{Replicas: row.replicas, SlotTime: row.slotTime}))
		})
	}
}

// A difference that takes something from callers must not go unseen, and equal versions
// must have none but their version.
func TestChanges(t *testing.T) {
	a, b := define("a", 2, 2, "secret1", "secret2"), define("b", 0, 0, "secret3")
	urgent := a
	urgent.Priority = 1
	id1, id2, id3 := customer.KeyID("secret1"), customer.KeyID("secret2"), customer.KeyID("secret3")
	rows := []struct {
		name           string
		inForce, check []any
		want           []string
	}{
		{"the same", []any{online(nil), batch(nil), a}, []any{online(nil), batch(nil), a}, nil},
		{"same version", nil, []any{1}, []string{"version:  0 version 0: 1 -> 1"}},
		{"key removed", []any{a}, []any{define("a", 2, 2, "secret1")}, []string{"in force: key-removed: customer 0 keys 1: " + id2}},
		{"key in another place", []any{a}, []any{define("a", 2, 2, "secret2", "secret1")}, nil},
		{"key moved", []any{a, b}, []any{define("a", 2, 2, "secret1"), define("b", 0, 0, "secret3", "secret2")}, []string{"in force: key-moved: customer 0 keys 1: " + id2}},
		{"key shared", []any{a, b}, []any{a, define("b", 0, 0, "secret3", "secret2")}, []string{"in force: key-removed: customer 0 keys 1: " + id2}},
		{"customer removed", []any{a, b}, []any{a}, []string{"in force: customer-removed: customer 1  0: b", "in force: key-removed: customer 1 keys 0: " + id3}},
		{"customer left out", []any{a, b}, []any{define("a", -1, 2, "secret1"), b}, []string{"in force: customer-removed: customer 0  0: a", "in force: key-removed: customer 0 keys 0: " + id1, "in force: key-removed: customer 0 keys 1: " + id2}},
		{"customer with a key as name removed", []any{a, define("secret1", 0, 0, "secret3")}, []any{a}, []string{"in force: customer-removed: customer 1  0: key " + id1, "in force: key-removed: customer 1 keys 0: " + id3}},
		{"customer added", []any{b}, []any{a, b}, []string{"customer-added: customer 0  0: a"}},
		{"first customer", nil, []any{b}, []string{"keys-needed: customer -1  0: 0 -> 1", "customer-added: customer 0  0: b"}},
		{"last customer", []any{b}, nil, []string{"keys-needed: customer -1  0: 1 -> 0"}},
		{"quota lowered", []any{a}, []any{define("a", 1, 1, "secret1", "secret2")}, []string{"lowered: customer 0 rate 0: 2 -> 1", "lowered: customer 0 burst 0: 2 -> 1"}},
		{"quota ended", []any{a}, []any{define("a", 0, 0, "secret1", "secret2")}, []string{"raised: customer 0 rate 0: 2 -> none"}},
		{"quota begun", []any{b}, []any{define("b", 1, 1, "secret3")}, []string{"lowered: customer 0 rate 0: none -> 1"}},
		{"priority", []any{a}, []any{urgent}, []string{"changed: customer 0 priority 0: 0 -> 1"}},
		{"route removed", []any{batch(nil)}, []any{online(func(r *route.Route) { r.Host = "g" })}, []string{"in force: route-removed: route 0  0: h/b/", "route-added: route 0  0: g/"}},
		{"hidden route removed", []any{online(nil), online(func(r *route.Route) { r.Timeout = time.Second })}, nil, nil},
		{"route covered by another", []any{online(nil), batch(nil)}, nil, []string{"in force: route-removed: route 1  0: h/b/"}},
		{"route taken from another", nil, []any{online(nil), batch(nil)}, []string{"route-added: route 1  0: h/b/"}},
		{"route needs a key", []any{online(func(r *route.Route) { r.Public = true }), a}, []any{a}, []string{"changed: route 0 public 0: true -> false"}},
		{"route edited", []any{batch(nil)}, []any{batch(func(r *route.Route) {
			r.Timeout, r.MaxWaitingTokens, r.Kind, r.Targets = time.Second, 0, route.Idempotent, []route.Target{{Service: "s", Weight: 1}, {Service: "s", Weight: 2}}
		})}, []string{
			"lowered: route 0 timeout 0: none -> 1s", "raised: route 0 waiting 0: 1000 -> none", "changed: route 0 kind 0: batch -> idempotent", "changed: route 0 target -1: s -> s:1 s:2",
		}},
		{"limits", []any{route.Limits{BodyBytes: 5}}, []any{route.Limits{HeaderBytes: 9, BodyBytes: 4}}, []string{"lowered: limits 0 headerBytes 0: none -> 9", "lowered: limits 0 bodyBytes 0: 5 -> 4"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := configcheck.Check(config(append([]any{2}, row.check...)...), config(row.inForce...), configcheck.Environment{})
			var differences []configcheck.Finding
			for _, f := range got {
				if f.Severity != configcheck.Warning {
					differences = append(differences, f)
				}
			}
			requireFindings(t, row.want, differences)
			require.Equal(t, strings.HasPrefix(strings.Join(row.want, ""), "version"), configcheck.Count(got, configcheck.Error) > 0)
		})
	}
}

// Every rule must be described on the page of the command.
func TestRulesAreDescribed(t *testing.T) {
	source, err := os.ReadFile("finding.go")
	require.NoError(t, err)
	page, err := os.ReadFile("../docs/CONFIG-CHECK.md")
	require.NoError(t, err)
	rules := regexp.MustCompile(`Rule = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	require.NotEmpty(t, rules)
	for _, rule := range rules {
		require.Contains(t, string(page), "`"+rule[1]+"`")
	}
}
