package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// callWait bounds a call of Call; a frozen daemon does not answer.
const callWait = 10 * time.Second

// Call makes one call through the generated client and decodes a good answer.
// Every other status is an error.
func Call[T any](server, token string, do func(*api.Client) (*http.Response, error)) (T, error) {
	var out T
	client, err := api.NewClient(server, api.WithHTTPClient(&http.Client{Timeout: callWait}),
		api.WithRequestEditorFn(func(_ context.Context, request *http.Request) error {
			request.Header.Set("Authorization", "Bearer "+token)
			return nil
		}))
	if err != nil {
		return out, eris.Wrap(err, "make client")
	}
	response, err := do(client)
	if err != nil {
		return out, eris.Wrap(err, "call daemon")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return out, eris.Wrap(err, "read answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return out, eris.Errorf("status %d: %s", response.StatusCode, body)
	}
	return out, eris.Wrap(json.Unmarshal(body, &out), "decode answer")
}

var shared = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// Do makes an HTTP call and decodes the answer, whatever its status, into result.
// It returns status 0 when there is no answer.
func Do(ctx context.Context, wait time.Duration, method, url, token string, value, result any) int {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the tests pass schema types only
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := shared.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || result != nil && json.Unmarshal(data, result) != nil {
		return 0
	}
	return response.StatusCode
}
