// Package command implements the command-line tool: it maps arguments to calls of
// the HTTP API, and answers to tables, JSON and exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// globals holds the flags that all commands share.
type globals struct {
	Server []string `help:"Base URLs of daemons, tried in order." env:"SAMPHIREPATH_SERVER" default:"http://127.0.0.1:8080" placeholder:"URL"`
	Token  string   `help:"Bearer token of the organisation or the operators." env:"SAMPHIREPATH_TOKEN"`
	Output string   `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
	Wait   float64  `help:"Longest wait for an answer, in seconds." default:"60"`
}

type root struct {
	globals

	Job       jobCommands       `cmd:"" help:"Submit, show and cancel jobs."`
	Request   requestCommands   `cmd:"" help:"Send requests to a service and fetch their results."`
	Catalogue catalogueCommands `cmd:"" help:"Show and change the catalogue (operators)."`
	Zone      zoneCommands      `cmd:"" help:"Take availability zones out of service and bring them back (operators)."`
	Worker    workerCommands    `cmd:"" help:"Show workers (operators)."`
	Minion    minionCommands    `cmd:"" help:"Show minions (operators)."`
	Status    statusCommand     `cmd:"" help:"Show the status of a daemon (operators)."`
	Explain   explainCommand    `cmd:"" help:"Say in sentences why a job or request waits, where it ran, or what an organisation holds."`
}

const description = `Command-line tool of samphirepath.

Exit codes:
  0  done
  1  the job or request ran and failed, or another error
  2  wrong arguments
  3  not run: refused, nothing was started
  4  unknown: it may have run
  5  not found
  6  conflict: key reused with another body, or the configuration has moved on
  7  no daemon could be reached
  8  wrong token, or not allowed

Examples:
  samphirepath job submit --key refit-42 --entry refits --tasks 4 --accelerators 2
  samphirepath explain refit-42
  samphirepath zone out kiruna --reason "switch replacement"`

// environment holds what a command needs to run: its context, the API client and the
// outputs.
type environment struct {
	ctx    context.Context
	client *client
	out    io.Writer
	errOut io.Writer
	asJSON bool
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var cli root
	exited := -1
	parser, err := kong.New(&cli,
		kong.Name("samphirepath"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		panic(err) // the command structs are invalid; no input causes this
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "samphirepath: %v\nSee samphirepath --help.\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, parsed, &cli.globals, out, errOut)
}

func run(ctx context.Context, parsed *kong.Context, flags *globals, out, errOut io.Writer) int {
	c, err := newClient(flags)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "samphirepath: %v\n", err)
		return exitUsage
	}
	env := &environment{ctx: ctx, client: c, out: out, errOut: errOut, asJSON: flags.Output == "json"}
	err = parsed.Run(env)
	var exitStatus *exitStatusError
	if err != nil && !errors.As(err, &exitStatus) {
		_, _ = fmt.Fprintf(errOut, "samphirepath: %v\n", err)
	}
	return exitCode(err)
}
