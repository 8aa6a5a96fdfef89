// Command mustarddoor is the command-line tool for operators and callers.
package main

import (
	"os"

	"mustarddoor/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
