// Command samphirepath is the command-line tool for callers and operators.
package main

import (
	"os"

	"github.com/samphirepath/samphirepath/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
