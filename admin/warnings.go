package admin

import (
	"fmt"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// Warnings says what an edit takes away from what is in force. A nil current
// document has nothing to lose.
func Warnings(current, next *service.Document) []string {
	if current == nil {
		return nil
	}
	var out []string
	if len(current.Upstreams) > 0 && len(next.Upstreams) == 0 {
		out = append(out, "upstreams: the last upstream is taken away; every request will be refused")
	}
	out = append(out, emptied(current, next)...)
	for _, c := range current.Callers {
		after, ok := next.CallerNamed(c.Name)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("callers: %s loses access", c.Name))
		case lowered(c.RequestsPerSecond, after.RequestsPerSecond):
			out = append(out, fmt.Sprintf("callers: requests_per_second of %s is lowered to %v", c.Name, after.RequestsPerSecond))
		case lowered(c.TokensPerSecond, after.TokensPerSecond):
			out = append(out, fmt.Sprintf("callers: tokens_per_second of %s is lowered to %v", c.Name, after.TokensPerSecond))
		}
	}
	if next.Ceilings.CrossRegionBytes < current.Ceilings.CrossRegionBytes {
		out = append(out, fmt.Sprintf("ceilings.cross_region_bytes is lowered to %d", next.Ceilings.CrossRegionBytes))
	}
	if next.Routing.Concurrency < current.Routing.Concurrency {
		out = append(out, fmt.Sprintf("routing.concurrency is lowered to %d", next.Routing.Concurrency))
	}
	return out
}

// emptied names the data centres that lose their last upstream.
func emptied(current, next *service.Document) []string {
	left := make(map[string]bool)
	for _, u := range next.Upstreams {
		left[u.DataCentre] = true
	}
	var out []string
	for _, u := range current.Upstreams {
		if !left[u.DataCentre] {
			left[u.DataCentre] = true
			out = append(out, fmt.Sprintf("upstreams: data centre %s loses its last upstream", u.DataCentre))
		}
	}
	return out
}

// lowered compares limits, where zero is no limit.
func lowered(before, after float64) bool { return after > 0 && (before == 0 || after < before) }
