// Command mustarddoor-soak injects seeded faults into real hosts on loopback.
package main

import (
	"os"

	"mustarddoor/soak"
)

func main() { os.Exit(soak.Main(os.Args[1:])) }
