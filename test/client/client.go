// Package client is a small typed client of the HTTP API for tests. It returns
// the outcome of a call as a value instead of an error, so that a test can also
// check lost and refused calls.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

const (
	// maxIdleConnections is the number of parallel calls to one daemon that reuse
	// connections instead of dialling again and again.
	maxIdleConnections = 512
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 40 * time.Second
)

// Answer is the result of a call.
type Answer[T any] struct {
	// Value is the body of a successful answer.
	Value T
	// Status is the HTTP status, 0 when no answer arrived.
	Status int
	// Problem is the body of an answer that reports an error.
	Problem api.Problem
	// Err is set when no intact answer arrived.
	Err error
	// Refused is set together with Err when the connection was refused. The call has
	// then certainly not reached the daemon.
	Refused bool
	// Elapsed is the duration of the call.
	Elapsed time.Duration
}

// OK reports whether an intact answer with a success status arrived.
func (a Answer[T]) OK() bool {
	return a.Err == nil && a.Status < http.StatusMultipleChoices
}

// Outcome returns the outcome that the caller of a request or of a job submission
// can derive: not_run for a refused connection, unknown for a lost answer, and
// otherwise what the answer says.
func (a Answer[T]) Outcome() api.Outcome {
	switch {
	case a.Refused:
		return api.OutcomeNotRun
	case a.Err != nil:
		return api.OutcomeUnknown
	case !a.OK():
		return a.Problem.Outcome
	}
	if result, ok := any(a.Value).(api.RequestResult); ok {
		return result.Outcome
	}
	return api.OutcomeRan
}

// Client calls one listener of one daemon with one token.
type Client struct {
	api  *api.Client
	http *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:8080.
func New(server, token string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	httpClient := &http.Client{Transport: transport, Timeout: callTimeout}
	apiClient, err := api.NewClient(server, api.WithHTTPClient(httpClient), api.WithRequestEditorFn(
		func(_ context.Context, request *http.Request) error {
			request.Header.Set("Authorization", "Bearer "+token)
			return nil
		}))
	if err != nil {
		panic(eris.Wrapf(err, "client: create API client for %s", server))
	}
	return &Client{api: apiClient, http: httpClient}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SubmitRequest submits a request and waits for its result.
func (c *Client) SubmitRequest(ctx context.Context, submit api.RequestSubmit) Answer[api.RequestResult] {
	return readAnswer[api.RequestResult](func() (*http.Response, error) { return c.api.SubmitRequest(ctx, submit) })
}

// GetRequest reads the result of a non-idempotent request by its key.
func (c *Client) GetRequest(ctx context.Context, key string) Answer[api.RequestResult] {
	return readAnswer[api.RequestResult](func() (*http.Response, error) { return c.api.GetRequest(ctx, key) })
}

// SubmitJob submits a job.
func (c *Client) SubmitJob(ctx context.Context, spec api.JobSpec) Answer[api.Job] {
	return readAnswer[api.Job](func() (*http.Response, error) { return c.api.SubmitJob(ctx, spec) })
}

// GetJob reads a job.
func (c *Client) GetJob(ctx context.Context, id string) Answer[api.Job] {
	return readAnswer[api.Job](func() (*http.Response, error) { return c.api.GetJob(ctx, id) })
}

// CancelJob requests the cancellation of a job. The job may still be running when it
// returns.
func (c *Client) CancelJob(ctx context.Context, id string) Answer[api.Job] {
	return readAnswer[api.Job](func() (*http.Response, error) { return c.api.CancelJob(ctx, id) })
}

// ListJobs lists the jobs in a state, or all jobs if state is empty.
func (c *Client) ListJobs(ctx context.Context, state string) Answer[api.JobList] {
	return readAnswer[api.JobList](func() (*http.Response, error) {
		return c.api.ListJobs(ctx, &api.ListJobsParams{State: state})
	})
}

// GetCatalogue reads the configuration in force on the daemon.
func (c *Client) GetCatalogue(ctx context.Context) Answer[api.Configuration] {
	return readAnswer[api.Configuration](func() (*http.Response, error) { return c.api.GetCatalogue(ctx) })
}

// ApplyCatalogue replaces the catalogue if the expected revision is still current.
func (c *Client) ApplyCatalogue(ctx context.Context, apply api.CatalogueApply) Answer[api.ConfigurationHead] {
	return readAnswer[api.ConfigurationHead](func() (*http.Response, error) { return c.api.ApplyCatalogue(ctx, apply) })
}

// ChangeZone takes a zone out of service or brings it back.
func (c *Client) ChangeZone(ctx context.Context, zone string, change api.ZoneChange) Answer[api.ConfigurationHead] {
	return readAnswer[api.ConfigurationHead](func() (*http.Response, error) { return c.api.ChangeZone(ctx, zone, change) })
}

// Status reads the status of the daemon.
func (c *Client) Status(ctx context.Context) Answer[api.Status] {
	return readAnswer[api.Status](func() (*http.Response, error) { return c.api.GetStatus(ctx) })
}

// Minions lists the minions that the daemon knows.
func (c *Client) Minions(ctx context.Context) Answer[api.MinionList] {
	return readAnswer[api.MinionList](func() (*http.Response, error) { return c.api.ListMinions(ctx) })
}

func readAnswer[T any](call func() (*http.Response, error)) Answer[T] {
	start := time.Now()
	answer := readBody[T](call)
	answer.Elapsed = time.Since(start)
	return answer
}

func readBody[T any](call func() (*http.Response, error)) (answer Answer[T]) {
	response, err := call()
	if err != nil {
		answer.Err = eris.Wrap(err, "call daemon")
		answer.Refused = errors.Is(err, syscall.ECONNREFUSED)
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		answer.Err = eris.Wrap(err, "read answer")
		return answer
	}
	answer.Status = response.StatusCode
	if answer.OK() {
		answer.Err = eris.Wrap(json.Unmarshal(body, &answer.Value), "decode answer")
	} else {
		answer.Err = eris.Wrapf(json.Unmarshal(body, &answer.Problem), "decode error body of an answer with status %d", answer.Status)
	}
	return answer
}
