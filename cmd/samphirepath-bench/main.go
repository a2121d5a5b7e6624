// Command samphirepath-bench runs load tests and experiments.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/samphirepath/samphirepath/internal/bench/placement"
)

type commands struct {
	Placement placementCommand `cmd:"" help:"Compares first fit and the planner on generated arrivals with a fake clock."`
}

type placementCommand struct {
	Seed    uint64  `default:"1" help:"Seed of the arrivals."`
	Workers int     `default:"48" help:"Workers with 8 accelerators each."`
	PerRack int     `default:"6" help:"Workers in a rack."`
	Days    int     `default:"2" help:"Days of arrivals."`
	Load    float64 `default:"1" help:"Scales the arrivals; 1 asks for about 80 % of the accelerators."`
}

// Run compares first fit and the planner and prints the results.
func (c *placementCommand) Run() error {
	return placement.Run(placement.Options{Seed: c.Seed, Workers: c.Workers, PerRack: c.PerRack, Days: c.Days, Load: c.Load}, os.Stdout)
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("samphirepath-bench"), kong.Description("Load and experiments for samphirepath."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
