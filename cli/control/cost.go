package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// groups are the values of cost --by.
var groups = []string{"caller", "data-centre", "service"}

// costRow is one sum.
type costRow struct {
	Service string          `json:"service"`
	Group   string          `json:"group,omitempty"`
	Kind    accounting.Kind `json:"kind"`
	Reason  string          `json:"reason,omitempty"`
	Count   int64           `json:"count"`
	// Ceiling is the service's limit over all groups; zero has none.
	Ceiling int64 `json:"ceiling,omitempty"`
}

// costReport is the answer of the cost command.
type costReport struct {
	Rows    []costRow          `json:"rows"`
	Missing []timeline.Missing `json:"missing,omitempty"`
}

// sumCost adds up rows by a group.
func sumCost(rows []admin.CostRow, by, name string) ([]costRow, error) {
	if !slices.Contains(groups, by) {
		return nil, cli.WithCode(errors.Newf("--by is %q; it must be one of %s", by, strings.Join(groups, ", ")), cli.ExitUsage)
	}
	sums := make(map[costRow]int64)
	for _, r := range rows {
		if name != "" && r.Service != name {
			continue
		}
		key := costRow{Service: r.Service, Kind: r.Kind, Reason: r.Reason, Ceiling: r.Ceiling}
		switch by {
		case "caller":
			key.Group = r.Caller
		case "data-centre":
			key.Group = r.DataCentre
		}
		sums[key] += r.Count
	}
	out := make([]costRow, 0, len(sums))
	for key, n := range sums {
		key.Count = n
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b costRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return out, nil
}

func blank(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

// used returns the part of the ceiling.
func used(r costRow) string {
	if r.Ceiling == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f%%", 100*float64(r.Count)/float64(r.Ceiling))
}
