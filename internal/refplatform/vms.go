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
	base string
	last atomic.Pointer[taggedList]
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

// List returns the list. A list with a malformed entry is an error. A list that
// has not changed since the last call is not transferred again: at 490 VMs it
// takes 87 KB, more than all other control traffic of a daemon.
func (v *VMsClient) List(ctx context.Context) (api.VMList, error) {
	last := v.last.Load()
	got, err := v.do(ctx, listCall(v.base, last))
	if err != nil {
		return api.VMList{}, err
	}
	if got.status == http.StatusNotModified && last != nil {
		return last.asOf(got.header.Get(HeaderAsOf)), nil
	}
	if got.status != http.StatusOK {
		return api.VMList{}, got.refusal()
	}
	list, err := decodeVMs(got.body)
	if tag := got.header.Get("ETag"); err == nil && tag != "" {
		v.last.Store(&taggedList{tag: tag, list: list})
	}
	return list, err
}

// taggedList is a list with the entity tag under which the platform gave it.
type taggedList struct {
	tag  string
	list api.VMList
}

// asOf returns the list with a newer time, if the platform gives one.
func (t *taggedList) asOf(header string) api.VMList {
	list := t.list
	if ms, err := strconv.ParseInt(header, 10, 64); err == nil {
		list.AsOfMs = ms
	}
	return list
}

func listCall(base string, last *taggedList) call {
	request := call{name: "vms list", method: http.MethodGet, url: base + PathVMs}
	if last != nil {
		request.header = http.Header{"If-None-Match": {last.tag}}
	}
	return request
}
