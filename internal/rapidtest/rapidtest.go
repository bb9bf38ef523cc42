// Package rapidtest fixes the seed of property tests (pgregory.net/rapid), so
// that each run gives the same verdict. A test imports it for its effect; the
// flag -rapid.seed still overrides the seed.
package rapidtest

import (
	"flag"

	// Registers the flags.
	_ "pgregory.net/rapid"
)

const seed = "1"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
