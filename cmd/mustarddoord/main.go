// Command mustarddoord is the daemon that runs on every host.
package main

import (
	"os"

	"mustarddoor/internal/process/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
