// Command samphirepath-standin runs stand-ins for the services of the platform, for
// tests and the demo. Once it listens, it prints one line of JSON with its addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/standin"
)

// arguments holds the command-line arguments.
type arguments struct {
	Config string `arg:"" type:"existingfile" help:"Config file, TOML or, if it ends in .json, JSON."`
}

// readyLine is the JSON line that is printed once all listeners serve.
type readyLine struct {
	Ready     bool              `json:"ready"`
	Addresses standin.Addresses `json:"addresses"`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Description("Stand-in for the platform: table, objects, VM list, workers and minions."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(run(ctx, args))
}

func run(ctx context.Context, args arguments) error {
	data, err := os.ReadFile(args.Config)
	if err != nil {
		return eris.Wrap(err, "read config")
	}
	config, err := standin.ParseConfig(args.Config, data)
	if err != nil {
		return err
	}
	if config.Logger, err = zap.NewProduction(); err != nil {
		return eris.Wrap(err, "open log")
	}
	server, err := standin.New(config)
	if err != nil {
		return err
	}
	line, err := json.Marshal(readyLine{Ready: true, Addresses: server.Addresses()})
	if err != nil {
		return eris.Wrap(err, "encode ready line")
	}
	fmt.Println(string(line))
	return server.Run(ctx)
}
