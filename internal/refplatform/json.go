package refplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

const contentTypeJSON = "application/json"

// postJSON makes a POST call with a value as JSON.
func (c *caller) postJSON(ctx context.Context, name, url string, value any) (answer, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return answer{}, &CallError{cause: eris.Wrap(err, "encode "+name)}
	}
	header := http.Header{"Content-Type": {contentTypeJSON}}
	return c.do(ctx, call{name: name, method: http.MethodPost, url: url, header: header, body: body})
}

// get makes a GET call.
func (c *caller) get(ctx context.Context, name, url string) (answer, error) {
	return c.do(ctx, call{name: name, method: http.MethodGet, url: url})
}

// invalidAnswer returns the error for an answer that arrived but cannot be used: the
// call may have taken effect.
func invalidAnswer(err error) error { return &CallError{MaybeApplied: true, cause: err} }
