package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// maxAnswerBytes bounds how much of the body of an answer is read into memory.
const maxAnswerBytes = 64 << 20

// client calls the API of the first daemon that accepts a connection.
type client struct{ *api.Client }

func newClient(flags *globals) (*client, error) {
	transport := &failoverTransport{base: http.DefaultTransport}
	for _, server := range flags.Server {
		u, err := url.Parse(server)
		if err != nil || u.Scheme == "" || u.Host == "" {
			return nil, &usageError{"--server wants URLs such as http://127.0.0.1:8080, not " + server}
		}
		transport.servers = append(transport.servers, u)
	}
	if len(transport.servers) == 0 {
		return nil, &usageError{"--server names no daemon"}
	}
	httpClient := &http.Client{Transport: transport, Timeout: time.Duration(flags.Wait * float64(time.Second))}
	authorize := func(_ context.Context, req *http.Request) error {
		if flags.Token != "" {
			req.Header.Set("Authorization", "Bearer "+flags.Token)
		}
		return nil
	}
	c, err := api.NewClient(flags.Server[0], api.WithHTTPClient(httpClient), api.WithRequestEditorFn(authorize))
	return &client{c}, err
}

// failoverTransport tries the servers in order. It goes on to the next one only if no
// connection to the previous one was established, so that no call is sent twice.
type failoverTransport struct {
	servers []*url.URL
	base    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *failoverTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var lastErr error
	for _, server := range t.servers {
		attempt := req.Clone(req.Context())
		attempt.URL.Scheme, attempt.URL.Host = server.Scheme, server.Host
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, err
			}
			attempt.Body = body
		}
		resp, err := t.base.RoundTrip(attempt)
		if err == nil {
			return resp, nil
		}
		if !isDialError(err) {
			return nil, &lostAnswerError{err}
		}
		lastErr = err
	}
	return nil, &unreachableError{lastErr}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decodeResponse decodes the body of a successful answer of the API. Any other
// answer is returned as an error with the problem from its body.
func decodeResponse[T any](resp *http.Response, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return value, &lostAnswerError{err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return value, decodeProblem(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, &lostAnswerError{eris.Wrap(err, "the answer is not valid JSON")}
	}
	return value, nil
}

func decodeProblem(status int, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Status == 0 {
		p = api.Problem{Status: status, Title: http.StatusText(status), Outcome: api.OutcomeUnknown}
	}
	return &problemError{p}
}

// configuration fetches the configuration in force on the daemon.
func (e *environment) configuration() (api.Configuration, error) {
	resp, err := e.client.GetCatalogue(e.ctx)
	if err != nil {
		return api.Configuration{}, err
	}
	defer resp.Body.Close()
	return decodeResponse[api.Configuration](resp, nil)
}
