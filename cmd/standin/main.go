// Command standin simulates the components around a fleet in tests.
package main

import (
	"os"

	"mustarddoor/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
