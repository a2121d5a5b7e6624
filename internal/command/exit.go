package command

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/samphirepath/samphirepath/api"
)

// Exit codes. The help text documents them.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitNotRun      = 3
	exitUnknown     = 4
	exitNotFound    = 5
	exitConflict    = 6
	exitUnreachable = 7
	exitForbidden   = 8
)

// problemError is an error answer of the API.
type problemError struct{ problem api.Problem }

func (e *problemError) Error() string {
	text := e.problem.Detail
	if text == "" {
		text = e.problem.Title
	}
	if e.problem.Outcome != "" {
		text += fmt.Sprintf(" (outcome %s)", e.problem.Outcome)
	}
	if e.problem.CurrentRevision > 0 {
		text += fmt.Sprintf("; the current revision is %d", e.problem.CurrentRevision)
	}
	return text
}

// unreachableError means that no daemon accepted a connection.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string { return "no daemon could be reached: " + e.cause.Error() }
func (e *unreachableError) Unwrap() error { return e.cause }

// lostAnswerError means that a call may have been sent and no complete answer
// arrived.
type lostAnswerError struct{ cause error }

func (e *lostAnswerError) Error() string {
	return "the answer was lost, so the outcome is unknown; repeat the command with the same key: " + e.cause.Error()
}
func (e *lostAnswerError) Unwrap() error { return e.cause }

// usageError is an error in the arguments or in a file that they name.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// exitStatusError makes the process exit with a code without an error message. It is
// returned after the result has been printed.
type exitStatusError struct{ code int }

func (e *exitStatusError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

func exitCode(err error) int {
	var (
		exitStatus  *exitStatusError
		problem     *problemError
		unreachable *unreachableError
		lost        *lostAnswerError
		usage       *usageError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &exitStatus):
		return exitStatus.code
	case errors.As(err, &problem):
		return problemCode(problem.problem)
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &lost):
		return exitUnknown
	case errors.As(err, &usage):
		return exitUsage
	default:
		return exitFailed
	}
}

func problemCode(p api.Problem) int {
	switch p.Status {
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusConflict:
		return exitConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitForbidden
	}
	return outcomeCode(p.Outcome)
}

func outcomeCode(outcome api.Outcome) int {
	switch outcome {
	case api.OutcomeRan:
		return exitDone
	case api.OutcomeNotRun:
		return exitNotRun
	case api.OutcomeUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}
