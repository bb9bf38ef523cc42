// Command spindled is the daemon that runs on every entry host.
package main

import (
	"os"

	"github.com/comfreyspindle/comfreyspindle/cli/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
