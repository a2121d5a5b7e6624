// Command capacity measures the processor time, memory and traffic that daemons need
// for control at several cluster sizes and writes the tables of docs/CAPACITY.md. It
// starts the daemons and the platform stand-in as processes and takes less than ten
// minutes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/test/harness"
)

type arguments struct {
	Page   string        `help:"Page whose tables are replaced." default:"docs/CAPACITY.md"`
	Window time.Duration `help:"Time over which each size is measured." default:"12s"`
	Settle time.Duration `help:"Time between the last start and the measurement." default:"5s"`
	Only   string        `help:"Measure only the series with this name and write no page."`
	Commit string        `help:"Commit that the page names." default:"unknown"`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Description("Measures the cost of control at several sizes."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := run(ctx, args)
	_ = harness.RemoveBinaries()
	parser.FatalIfErrorf(err)
}

func run(ctx context.Context, args arguments) error {
	start := time.Now()
	m := &measurer{window: args.Window, settle: args.Settle}
	var results []series
	for _, s := range allSeries() {
		if args.Only != "" && args.Only != s.name {
			continue
		}
		measuredSeries, err := m.measureSeries(ctx, s)
		if err != nil {
			return err
		}
		results = append(results, measuredSeries)
	}
	if args.Only != "" && args.Only != targetOnly {
		fmt.Print(slopeTable(results))
		return nil
	}
	fmt.Println("target size")
	target, err := m.measure(ctx, targetSize())
	if err != nil {
		return eris.Wrap(err, "measure the target size")
	}
	tables := tables{
		Header: fmt.Sprintf("Measured on %s at commit %s, %s per point; the whole run took %s.",
			start.UTC().Format("2006-01-02 15:04 MST"), args.Commit, args.Window, time.Since(start).Round(time.Second)),
		Target: targetTable(target) + "\n" + fullFormTable(target) + "\n" + changeTable(target, *target.withChanges),
		Slopes: slopeTable(results), Channels: channelTable(target), Events: eventTable(target), Disruptions: disruptionTable(target.disruptions),
	}
	fmt.Print(tables.text())
	if args.Only != "" {
		return nil
	}
	return tables.write(args.Page)
}
