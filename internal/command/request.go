package command

import (
	"io"
	"os"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

type requestCommands struct {
	Send requestSend `cmd:"" help:"Send a request and print the answer."`
	Get  requestGet  `cmd:"" help:"Fetch the result of a non-idempotent request by its key."`
}

type requestSend struct {
	Entry         string        `arg:"" help:"Catalogue entry of kind service."`
	Key           string        `help:"Idempotency key, unique in the organisation." required:""`
	NonIdempotent bool          `help:"The request runs at most once."`
	Deadline      time.Duration `help:"Longest wait for the answer; the limit of the entry by default."`
	Data          string        `help:"Payload." xor:"payload"`
	File          string        `help:"File that holds the payload; - reads standard input." xor:"payload"`
}

// Run sends the request.
func (c *requestSend) Run(env *environment) error {
	body, err := c.payload()
	if err != nil {
		return err
	}
	result, err := decodeResponse[api.RequestResult](env.client.SubmitRequest(env.ctx, api.RequestSubmit{
		Entry: c.Entry, Key: c.Key, NonIdempotent: c.NonIdempotent,
		DeadlineMs: c.Deadline.Milliseconds(), Body: body,
	}))
	if err != nil {
		return err
	}
	return env.printResult(result)
}

func (c *requestSend) payload() ([]byte, error) {
	switch c.File {
	case "":
		return []byte(c.Data), nil
	case "-":
		return io.ReadAll(os.Stdin)
	default:
		return os.ReadFile(c.File)
	}
}

type requestGet struct {
	Key string `arg:"" help:"Key of the request."`
}

// Run fetches and prints the result of the request.
func (c *requestGet) Run(env *environment) error {
	result, err := decodeResponse[api.RequestResult](env.client.GetRequest(env.ctx, c.Key))
	if err != nil {
		return err
	}
	return env.printResult(result)
}

func (e *environment) printResult(result api.RequestResult) error {
	if e.asJSON {
		if err := e.printJSON(result); err != nil {
			return err
		}
	} else {
		e.printResultText(result)
	}
	if code := outcomeCode(result.Outcome); code != exitDone {
		return &exitStatusError{code}
	}
	return nil
}

func (e *environment) printResultText(result api.RequestResult) {
	if result.InProgress {
		e.printLine("%s: in progress", result.Key)
		return
	}
	line := result.Key + ": " + string(result.Outcome)
	if result.Minion != "" {
		line += " on minion " + result.Minion
	}
	if result.Reason != "" {
		line += ": " + result.Reason
	}
	e.printLine("%s", line)
	if len(result.Body) > 0 {
		e.printLine("%s", result.Body)
	}
}
