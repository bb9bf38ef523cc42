package customer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func define(name string, keys ...string) Definition {
	return Definition{Customer: Customer{Name: name}, Keys: keys}
}

func limited(name string, perSecond, burst float64, keys ...string) Definition {
	d := define(name, keys...)
	d.Quota = Quota{PerSecond: perSecond, Burst: burst}
	return d
}

// A faulty customer must lose its own keys only, and no key may reveal another customer.
func TestDirectory(t *testing.T) {
	undecodable := define("a", "k1")
	undecodable.Undecodable = true
	rows := []struct {
		name        string
		definitions []Definition
		// owners are the names by key; an empty name means that the key is unknown.
		owners   map[string]string
		problems []string
	}{
		{"none", nil, map[string]string{"k1": "", "": ""}, nil},
		{"several keys", []Definition{define("a", "k1", "k2"), define("b", "k3")}, map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "K1": "", "k": ""}, nil},
		{"a key listed twice by one customer", []Definition{define("a", "k1", "k1")}, map[string]string{"k1": "a"}, nil},
		{"a key of two customers", []Definition{define("a", "k1", "k2"), define("b", "k1")}, map[string]string{"k1": "", "k2": "a"}, []string{"1 1[0] 6ab9f1eb"}},
		{"a key of three customers", []Definition{define("a", "k1"), define("b", "k1"), define("c", "k1")}, map[string]string{"k1": ""}, []string{"1 1[0] 6ab9f1eb", "2 1[0] 6ab9f1eb"}},
		{"empty key", []Definition{define("a", "", "k1")}, map[string]string{"": "", "k1": "a"}, []string{"0 1[0] "}},
		{"empty name", []Definition{define("", "k1"), define("b", "k2")}, map[string]string{"k1": "", "k2": "b"}, []string{"0 0[0] "}},
		{"repeated name", []Definition{define("a", "k1"), define("a", "k1", "k2")}, map[string]string{"k1": "a", "k2": ""}, []string{"1 0[0] a"}},
		{"name of a customer that is left out", []Definition{limited("a", -1, 0, "k1"), define("a", "k2")}, map[string]string{"k1": "", "k2": ""}, []string{"0 3[0] -1", "1 0[0] a"}},
		{"name with a line break", []Definition{define("a\r\nX: y", "k1")}, map[string]string{"k1": ""}, []string{`0 0[0] "a\r\nX: y"`}},
		{"name with outer space", []Definition{define(" a", "k1")}, map[string]string{"k1": ""}, []string{`0 0[0] " a"`}},
		{"negative rate", []Definition{limited("a", -0.5, 1, "k1"), define("b", "k2")}, map[string]string{"k1": "", "k2": "b"}, []string{"0 3[0] -0.5"}},
		{"rate is no number", []Definition{limited("a", math.NaN(), 1, "k1")}, map[string]string{"k1": ""}, []string{"0 3[0] NaN"}},
		{"rate is infinite", []Definition{limited("a", math.Inf(1), 1, "k1")}, map[string]string{"k1": ""}, []string{"0 3[0] +Inf"}},
		{"negative burst", []Definition{limited("a", 1, -1, "k1")}, map[string]string{"k1": ""}, []string{"0 4[0] -1"}},
		{"burst is no number", []Definition{limited("a", 1, math.NaN(), "k1")}, map[string]string{"k1": ""}, []string{"0 4[0] NaN"}},
		{"burst is infinite", []Definition{limited("a", 1, math.Inf(1), "k1")}, map[string]string{"k1": ""}, []string{"0 4[0] +Inf"}},
		{"can't be decoded", []Definition{undecodable, define("b", "k1", "k2")}, map[string]string{"k1": "", "k2": "b"}, []string{"1 1[0] 6ab9f1eb"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d, problems := NewDirectory(row.definitions)
			require.Equal(t, len(row.definitions) == 0, d.Empty(), "customers with faults still need keys")
			for key, name := range row.owners {
				c, ok := d.ByKey(key)
				require.Equal(t, name != "", ok, "%q", key)
				if ok {
					require.Equal(t, name, c.Name)
					same, _ := d.ByName(name)
					require.Same(t, same, c)
				}
			}
			var found []string
			for _, p := range problems {
				require.NotEmpty(t, p.Reason)
				found = append(found, fmt.Sprintf("%d %d[%d] %s", p.Definition, p.Field, p.Key, p.Value))
			}
			require.Equal(t, row.problems, found)
		})
	}
}

func TestCustomersAreKeptAsDefined(t *testing.T) {
	large := limited("large", 40, 40)
	large.Priority = 2
	negative := define("negative")
	negative.Priority = -1
	d, problems := NewDirectory([]Definition{large, negative})
	require.Equal(t, []*Customer{{Name: "large", Priority: 2, Quota: Quota{PerSecond: 40, Burst: 40}}, {Name: "negative"}}, d.All())
	require.Len(t, problems, 1)
	require.Equal(t, FieldPriority, problems[0].Field)
	_, ok := d.ByName("none")
	require.False(t, ok)
	d, _ = NewDirectory([]Definition{limited("left out", -1, 0)})
	_, ok = d.ByName("left out")
	require.False(t, ok)
	require.Empty(t, d.All())
	var none *Directory
	require.True(t, none.Empty())
	require.Empty(t, none.All())
}
