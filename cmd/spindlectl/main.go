// Command spindlectl is the operators' client.
package main

import (
	"os"

	"github.com/comfreyspindle/comfreyspindle/cli/control"
)

func main() { os.Exit(control.Main(os.Args[1:])) }
