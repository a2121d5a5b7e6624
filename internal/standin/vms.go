package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// vmService simulates the VM list of the platform, which lags behind its changes.
type vmService struct {
	service
	lag time.Duration
	now func() time.Time

	mu       sync.Mutex
	versions []vmsVersion // ordered by time; the first one is older than the lag
}

// vmsVersion is the content of the list from a time on.
type vmsVersion struct {
	time time.Time
	vms  map[string]api.VM
}

func newVMService(s service, lag time.Duration, vms []api.VM) *vmService {
	initial := make(map[string]api.VM, len(vms))
	for _, vm := range vms {
		initial[vm.ID] = vm
	}
	return &vmService{service: s, lag: lag, now: time.Now, versions: []vmsVersion{{vms: initial}}}
}

func (v *vmService) routes() http.Handler {
	e := echo.New()
	e.GET(refplatform.PathVMs, v.readHandler(func(r *http.Request, _ []byte) reply {
		return conditionalReply(r, v.delayed())
	}))
	return e
}

// conditionalReply answers 304 if the caller already has the same VMs.
func conditionalReply(r *http.Request, list api.VMList) reply {
	answer := jsonReply(http.StatusOK, list)
	digest := xxhash.New()
	if err := json.NewEncoder(digest).Encode(list.Vms); err != nil {
		panic(eris.Wrap(err, "standin: encode VM list"))
	}
	tag := strconv.Quote(strconv.FormatUint(digest.Sum64(), 16))
	if r.Header.Get("If-None-Match") == tag {
		answer = newReply(http.StatusNotModified, nil)
	}
	answer.header.Set("ETag", tag)
	answer.header.Set(refplatform.HeaderAsOf, strconv.FormatInt(list.AsOfMs, 10))
	return answer
}

// delayed returns the list as it was one lag ago, and drops older versions.
func (v *vmService) delayed() api.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.now().Add(-v.lag)
	for len(v.versions) > 1 && !v.versions[1].time.After(at) {
		v.versions = v.versions[1:]
	}
	return vmList(v.versions[0].vms, at)
}

// current returns the list without the lag.
func (v *vmService) current() api.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return vmList(v.versions[len(v.versions)-1].vms, v.now())
}

func vmList(vms map[string]api.VM, at time.Time) api.VMList {
	list := api.VMList{Vms: make([]api.VM, 0, len(vms)), AsOfMs: at.UnixMilli()}
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		list.Vms = append(list.Vms, vms[id])
	}
	return list
}

// appendVersion applies a change to the current list and appends the result as a new
// version.
func (v *vmService) appendVersion(apply func(map[string]api.VM) error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := maps.Clone(v.versions[len(v.versions)-1].vms)
	if err := apply(vms); err != nil {
		return err
	}
	v.versions = append(v.versions, vmsVersion{v.now(), vms})
	return nil
}

// put adds or replaces a VM.
func (v *vmService) put(vm api.VM) error {
	if vm.ID == "" || !vm.Kind.Valid() || vm.Zone == "" || vm.Address == "" {
		return eris.Errorf("VM %q lacks its identifier, kind, zone or address", vm.ID)
	}
	if vm.State == "" {
		vm.State = api.Live
	}
	if vm.Instance == "" {
		vm.Instance = uuid.NewString()
	}
	return v.appendVersion(func(vms map[string]api.VM) error {
		vms[vm.ID] = vm
		return nil
	})
}

// setState sets the state of a VM.
func (v *vmService) setState(id string, state api.VMState) error {
	if !state.Valid() {
		return eris.Errorf("VM state %q is not known", state)
	}
	return v.update(id, func(vm *api.VM) { vm.State = state })
}

func (v *vmService) update(id string, apply func(*api.VM)) error {
	return v.appendVersion(func(vms map[string]api.VM) error {
		vm, ok := vms[id]
		if !ok {
			return eris.Errorf("VM %q is not in the list", id)
		}
		apply(&vm)
		vms[id] = vm
		return nil
	})
}

// remove removes a VM from the list, or returns an error if the list does not contain it.
func (v *vmService) remove(id string) error {
	return v.appendVersion(func(vms map[string]api.VM) error {
		if _, ok := vms[id]; !ok {
			return eris.Errorf("VM %q is not in the list", id)
		}
		delete(vms, id)
		return nil
	})
}
