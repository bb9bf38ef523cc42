// Command spindlebench generates load, runs experiments and shows a demo.
package main

import (
	"os"

	"github.com/comfreyspindle/comfreyspindle/cli/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:])) }
