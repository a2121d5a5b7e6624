package refplatform

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/samphirepath/samphirepath/api"
)

// VMsClient is the client of the VM list.
type VMsClient struct {
	*caller
	base   string
	cached atomic.Pointer[taggedList]
}

var _ VMs = (*VMsClient)(nil)

// NewVMs returns a client of the VM list.
func NewVMs(c Config) (*VMsClient, error) {
	base, err := baseURL(c.URL)
	if err != nil {
		return nil, err
	}
	c = c.withDefaults("vms", DefaultTimeout, DefaultServiceConnections, defaultVMsAnswerBytes)
	return &VMsClient{caller: newCaller(c), base: base}, nil
}

// List returns the VM list. A list with a malformed entry is an error. A list that
// has not changed since the last call is not transferred again: the list of 490 VMs has
// 87 KB and, sent with every poll, would exceed all other control traffic of a daemon.
func (v *VMsClient) List(ctx context.Context) (api.VMList, error) {
	cached := v.cached.Load()
	got, err := v.do(ctx, listCall(v.base, cached))
	if err != nil {
		return api.VMList{}, err
	}
	if got.status == http.StatusNotModified && cached != nil {
		return cached.asOf(got.header.Get(HeaderAsOf)), nil
	}
	if got.status != http.StatusOK {
		return api.VMList{}, got.statusError()
	}
	list, err := decodeVMs(got.body)
	if tag := got.header.Get("ETag"); err == nil && tag != "" {
		v.cached.Store(&taggedList{tag: tag, list: list})
	}
	return list, err
}

// taggedList is a VM list with its entity tag.
type taggedList struct {
	tag  string
	list api.VMList
}

// asOf returns the list with the time in the header, if the header is valid.
func (t *taggedList) asOf(header string) api.VMList {
	list := t.list
	if ms, err := strconv.ParseInt(header, 10, 64); err == nil {
		list.AsOfMs = ms
	}
	return list
}

// listCall returns a call that reads the list unless it is still the cached one.
func listCall(base string, cached *taggedList) call {
	request := call{name: "vms list", method: http.MethodGet, url: base + PathVMs}
	if cached != nil {
		request.header = http.Header{"If-None-Match": {cached.tag}}
	}
	return request
}
