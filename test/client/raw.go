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

// callOnceTimeout bounds a call made by Call, because a frozen daemon never answers.
const callOnceTimeout = 10 * time.Second

// Call makes one call through the generated client and decodes the answer. A
// status of 300 and above is an error.
func Call[T any](server, token string, send func(*api.Client) (*http.Response, error)) (T, error) {
	var out T
	client, err := api.NewClient(server, api.WithHTTPClient(&http.Client{Timeout: callOnceTimeout}),
		api.WithRequestEditorFn(func(_ context.Context, request *http.Request) error {
			request.Header.Set("Authorization", "Bearer "+token)
			return nil
		}))
	if err != nil {
		return out, eris.Wrap(err, "create API client")
	}
	response, err := send(client)
	if err != nil {
		return out, eris.Wrap(err, "call daemon")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return out, eris.Wrap(err, "read answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return out, eris.Errorf("daemon answered with status %d: %s", response.StatusCode, body)
	}
	return out, eris.Wrap(json.Unmarshal(body, &out), "decode answer")
}

var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// Do makes an HTTP call and decodes the answer, whatever its status, into result
// unless result is nil. It returns the status, or 0 if no answer arrived that
// could be read and decoded.
func Do(ctx context.Context, timeout time.Duration, method, url, token string, value, result any) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: tests pass only values that can be encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := sharedClient.Do(request)
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
