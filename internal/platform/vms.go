package platform

import (
	"context"
	"net/http"

	"github.com/samphirepath/samphirepath/api"
)

// VMsClient is the client of the VM list.
type VMsClient struct {
	*caller
	base string
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

// List returns the list. A list with a malformed entry is an error.
func (v *VMsClient) List(ctx context.Context) (api.VMList, error) {
	got, err := v.get(ctx, "vms list", v.base+PathVMs)
	if err != nil {
		return api.VMList{}, err
	}
	if got.status != http.StatusOK {
		return api.VMList{}, got.refusal()
	}
	return decodeVMs(got.body)
}
