// Command samphirepathd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/daemon"
	"github.com/samphirepath/samphirepath/internal/settings"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type arguments struct {
	Run           fileArgument    `cmd:"" help:"Run the daemon until SIGTERM or SIGINT."`
	Platform      platformCommand `cmd:"" help:"Run the daemon on the users' platform; SAMPHIREPATH_CONFIG names the settings file."`
	CheckSettings fileArgument    `cmd:"" help:"Report every problem of a settings file and start nothing; exits 2 if there is one."`
}

type fileArgument struct {
	File string `arg:"" help:"Settings file, TOML."`
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("samphirepathd"), kong.Description("Daemon of samphirepath, the same on every entry VM."))
	if parsed.Command() == "check-settings <file>" {
		loadSettings(args.CheckSettings.File)
		fmt.Println("The settings are valid.")
		return
	}
	var err error
	if parsed.Command() == "platform" {
		err = args.Platform.Run()
	} else {
		err = run(loadSettings(args.Run.File))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepathd:", err)
		os.Exit(exitFailed)
	}
}

// loadSettings returns the settings of a file. If the file has problems, it prints
// all of them and exits.
func loadSettings(file string) api.Settings {
	loaded, problems := settings.Load(file)
	if len(problems) == 0 {
		return loaded
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	os.Exit(exitBadSettings)
	return api.Settings{}
}

func run(loaded api.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(ctx, loaded)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
