// Package harness runs samphirepathd and samphirepath-standin as processes for
// integration tests: it generates their settings, allocates ports of 127.0.0.1,
// captures their output, sends signals and waits for readiness.
package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
)

// The binaries have the names of their folders in cmd.
const (
	binaryDaemon  = "samphirepathd"
	binaryStandin = "samphirepath-standin"
)

// EnvRace names the environment variable that, if set, makes Build use the race
// detector.
const EnvRace = "SAMPHIREPATH_HARNESS_RACE"

// Binaries holds the paths of the built binaries.
type Binaries struct {
	Daemon  string
	Standin string
}

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Build builds the binaries once per test process and returns their paths.
// RemoveBinaries removes them.
func Build() (Binaries, error) {
	buildOnce.Do(func() { buildDir, errBuild = build() })
	if errBuild != nil {
		return Binaries{}, errBuild
	}
	return Binaries{
		Daemon:  filepath.Join(buildDir, binaryDaemon),
		Standin: filepath.Join(buildDir, binaryStandin),
	}, nil
}

// RemoveBinaries removes what Build has built. Call it at the end of a suite.
func RemoveBinaries() error {
	if buildDir == "" {
		return nil
	}
	return os.RemoveAll(buildDir)
}

func build() (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "samphirepath-harness-")
	if err != nil {
		return "", eris.Wrap(err, "make directory for binaries")
	}
	arguments := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(EnvRace) != "" {
		arguments = append(arguments, "-race")
	}
	arguments = append(arguments, "./cmd/"+binaryDaemon, "./cmd/"+binaryStandin)
	command := exec.Command("go", arguments...)
	command.Dir = root
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	if err := command.Run(); err != nil {
		return dir, eris.Wrapf(err, "build binaries: %s", output.String())
	}
	return dir, nil
}

// moduleRoot returns the nearest folder with a go.mod at or above the working
// directory, which is the folder of the test.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", eris.Wrap(err, "find working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", eris.New("no go.mod at or above the working directory")
		}
		dir = parent
	}
}
