package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// watchInterval is the interval at which job watch polls the job.
const watchInterval = 500 * time.Millisecond

type jobCommands struct {
	Submit jobSubmit `cmd:"" help:"Submit a gang of equal tasks. The same key and content give the same job."`
	Get    jobGet    `cmd:"" help:"Show one job."`
	List   jobList   `cmd:"" help:"List jobs."`
	Cancel jobCancel `cmd:"" help:"Cancel a job."`
	Watch  jobWatch  `cmd:"" help:"Print each change of a job until it has ended."`
}

type jobSubmit struct {
	File         string            `help:"Job as a TOML or JSON file; other flags are not read then." type:"existingfile" short:"f"`
	Key          string            `help:"Idempotency key, unique in the organisation."`
	Name         string            `help:"Name shown to people; the key by default."`
	Entry        string            `help:"Catalogue entry of kind job."`
	Team         string            `help:"Team whose quota is charged."`
	Tasks        int               `help:"Tasks in the gang." default:"1"`
	Cores        int               `help:"Processor cores of each task." default:"1"`
	MemoryMB     int64             `help:"Memory of each task in MiB." default:"1024" name:"memory-mb"`
	Accelerators int               `help:"Accelerators of each task." default:"0"`
	Zone         []string          `help:"Zones that may run the job; all by default."`
	RunTime      time.Duration     `help:"Declared run time." default:"1h"`
	Checkpoint   bool              `help:"The tasks can write checkpoints."`
	Parameter    map[string]string `help:"Parameters passed on to the workers." placeholder:"NAME=VALUE"`
}

func (c *jobSubmit) spec() (api.JobSpec, error) {
	if c.File != "" {
		var spec api.JobSpec
		return spec, readFile(c.File, &spec)
	}
	if c.Key == "" || c.Entry == "" {
		return api.JobSpec{}, &usageError{"job submit wants --key and --entry, or --file"}
	}
	name := c.Name
	if name == "" {
		name = c.Key
	}
	return api.JobSpec{
		Key: c.Key, Name: name, Entry: c.Entry, Team: c.Team, Tasks: c.Tasks, Zones: c.Zone,
		Resources:  api.Resources{Cores: c.Cores, MemoryMb: c.MemoryMB, Accelerators: c.Accelerators},
		RunTimeS:   int64(c.RunTime / time.Second),
		Checkpoint: c.Checkpoint, Parameters: c.Parameter,
	}, nil
}

// Run submits the job.
func (c *jobSubmit) Run(env *environment) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	job, err := decodeResponse[api.Job](env.client.SubmitJob(env.ctx, spec))
	if err != nil {
		return err
	}
	return env.printJobs(job, job)
}

type jobGet struct {
	ID string `arg:"" help:"Job identifier."`
}

// Run prints the job with its placement and its failed attempts.
func (c *jobGet) Run(env *environment) error {
	job, err := decodeResponse[api.Job](env.client.GetJob(env.ctx, c.ID))
	if err != nil {
		return err
	}
	if err := env.printJobs(job, job); err != nil {
		return err
	}
	env.printPlacement(job)
	return nil
}

type jobList struct {
	State string `help:"Only jobs in this state."`
}

// Run lists jobs.
func (c *jobList) Run(env *environment) error {
	list, err := decodeResponse[api.JobList](env.client.ListJobs(env.ctx, &api.ListJobsParams{State: c.State}))
	if err != nil {
		return err
	}
	return env.printJobs(list, list.Jobs...)
}

type jobCancel struct {
	ID string `arg:"" help:"Job identifier."`
}

// Run cancels the job.
func (c *jobCancel) Run(env *environment) error {
	job, err := decodeResponse[api.Job](env.client.CancelJob(env.ctx, c.ID))
	if err != nil {
		return err
	}
	return env.printJobs(job, job)
}

type jobWatch struct {
	ID string `arg:"" help:"Job identifier."`
}

// Run prints each change until the job has ended. The exit code gives its end state.
func (c *jobWatch) Run(env *environment) error {
	var last string
	for {
		job, err := decodeResponse[api.Job](env.client.GetJob(env.ctx, c.ID))
		if err != nil {
			return err
		}
		if line := watchLine(job); line != last {
			last = line
			if err := env.printChange(job, line); err != nil {
				return err
			}
		}
		if code, ended := terminalExitCode(job.State); ended {
			return &exitStatusError{code}
		}
		select {
		case <-env.ctx.Done():
			return env.ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

func (e *environment) printChange(job api.Job, line string) error {
	if e.asJSON {
		return e.printJSON(job)
	}
	e.printLine("%s", line)
	return nil
}

func watchLine(job api.Job) string {
	line := fmt.Sprintf("%s: %s", job.ID, job.State)
	if job.Zone != "" {
		line += " in " + job.Zone
	}
	if job.Attempt > 0 {
		line += fmt.Sprintf(", attempt %d", job.Attempt)
	}
	if job.Reason != "" {
		line += ": " + job.Reason
	}
	return line
}

// terminalExitCode returns the exit code for a state and reports whether the state is
// final.
func terminalExitCode(state api.JobState) (int, bool) {
	switch state {
	case api.JobStateSucceeded:
		return exitDone, true
	case api.JobStateFailed, api.JobStateCancelled:
		return exitFailed, true
	case api.JobStateRefused:
		return exitNotRun, true
	default:
		return 0, false
	}
}

func (e *environment) printJobs(value any, jobs ...api.Job) error {
	rows := make([][]string, 0, len(jobs))
	for _, job := range jobs {
		rows = append(rows, []string{
			job.ID, job.Spec.Name, job.Organisation, string(job.State), orDash(job.Zone),
			strconv.Itoa(job.Spec.Tasks), strconv.Itoa(job.Spec.Tasks * job.Spec.Resources.Accelerators),
			strconv.Itoa(job.Attempt), orDash(job.Reason),
		})
	}
	return e.printValue(value, "ID NAME ORGANISATION STATE ZONE TASKS ACCELERATORS ATTEMPT REASON", rows)
}

func (e *environment) printPlacement(job api.Job) {
	for _, task := range job.Placement {
		e.printLine("task %d on worker %s, accelerators %v", task.Index, task.Worker, task.Accelerators)
	}
	for _, failure := range job.Failures {
		e.printLine("attempt %d failed on worker %s: %s", failure.Attempt, failure.Worker, failure.Reason)
	}
}
