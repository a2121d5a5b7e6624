package refplatform

import (
	"context"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// ObjectsClient is the client of the object store.
type ObjectsClient struct {
	*caller
	base string
}

var _ Objects = (*ObjectsClient)(nil)

// NewObjects returns a client of the object store.
func NewObjects(c Config) (*ObjectsClient, error) {
	base, err := baseURL(c.URL)
	if err != nil {
		return nil, err
	}
	c = c.withDefaults("objects", DefaultTimeout, DefaultServiceConnections, defaultObjectAnswerBytes)
	return &ObjectsClient{caller: newCaller(c), base: base}, nil
}

func (o *ObjectsClient) url(key string) string {
	return o.base + PathObject + "?" + url.Values{ParamKey: {key}}.Encode()
}

// Put stores an object and reports whether the key had none before. With ifAbsent it
// does not overwrite an existing object.
func (o *ObjectsClient) Put(ctx context.Context, key string, value []byte, ifAbsent bool) (bool, error) {
	header := http.Header{}
	SetBodyHeaders(header, value)
	if ifAbsent {
		header.Set("If-None-Match", "*")
	}
	got, err := o.do(ctx, call{name: "object put", method: http.MethodPut, url: o.url(key), header: header, body: value})
	if err != nil {
		return false, err
	}
	switch got.status {
	case http.StatusCreated:
		return true, nil
	case http.StatusNoContent:
		return false, nil
	case http.StatusPreconditionFailed:
		if ifAbsent {
			return false, nil
		}
	}
	return false, got.statusError()
}

// Get returns the object and whether it exists.
func (o *ObjectsClient) Get(ctx context.Context, key string) ([]byte, bool, error) {
	got, err := o.get(ctx, "object get", o.url(key))
	if err != nil {
		return nil, false, err
	}
	switch {
	case got.status == http.StatusOK:
		if err := CheckBody(got.header, got.body); err != nil {
			return nil, false, eris.Wrapf(err, "object %q", key)
		}
		return got.body, true, nil
	case got.absent():
		return nil, false, nil
	default:
		return nil, false, got.statusError()
	}
}

// Delete removes the object. It is not an error if the object does not exist.
func (o *ObjectsClient) Delete(ctx context.Context, key string) error {
	got, err := o.do(ctx, call{name: "object delete", method: http.MethodDelete, url: o.url(key)})
	if err != nil {
		return err
	}
	if got.status != http.StatusNoContent {
		return got.statusError()
	}
	return nil
}
