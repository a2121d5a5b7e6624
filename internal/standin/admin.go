package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// Paths of the admin listener.
const (
	AdminAddresses     = "/addresses"      // GET Addresses
	AdminFaults        = "/faults"         // GET of all targets; PUT and DELETE AdminFaults/TARGET
	AdminTasks         = "/tasks"          // GET []TaskHistory
	AdminExecutions    = "/executions"     // GET []Execution
	AdminMinions       = "/minions"        // GET []MinionCounters
	AdminTableCounters = "/table/counters" // GET TableCounters
	AdminVMs           = "/vms"            // GET VMList without the lag; PUT and DELETE AdminVMs/ID
	AdminWorkers       = "/workers"        // POST AdminWorkers/ID/restart
)

// routeProvider is implemented by every service with a listener.
type routeProvider interface{ routes() http.Handler }

// admin serves fault injection, changes of the VM list and the recorded data.
type admin struct{ standin *Standin }

func (a *admin) routes() http.Handler {
	s := a.standin
	e := echo.New()
	e.GET(AdminAddresses, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Addresses()) })
	e.GET(AdminFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	e.PUT(AdminFaults+"/*", a.putFaults)
	e.DELETE(AdminFaults+"/*", func(c echo.Context) error { return answerResult(c, s.SetFaults(c.Param("*"), Faults{})) })
	e.GET(AdminTasks, func(c echo.Context) error { return c.JSON(http.StatusOK, s.TaskHistory()) })
	e.GET(AdminExecutions, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Executions()) })
	e.GET(AdminMinions, func(c echo.Context) error { return c.JSON(http.StatusOK, s.MinionCounters()) })
	e.GET(AdminTableCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, s.TableCounters()) })
	e.POST(AdminWorkers+"/:id/restart", func(c echo.Context) error { return answerResult(c, s.RestartWorker(c.Param("id"))) })
	if s.vms != nil {
		a.vmRoutes(e)
	}
	return e
}

func (a *admin) vmRoutes(e *echo.Echo) {
	vms := a.standin.vms
	e.GET(AdminVMs, func(c echo.Context) error { return c.JSON(http.StatusOK, vms.current()) })
	e.PUT(AdminVMs+"/:id", a.putVM)
	e.PUT(AdminVMs+"/:id/state", a.putVMState)
	e.DELETE(AdminVMs+"/:id", func(c echo.Context) error { return answerResult(c, vms.remove(c.Param("id"))) })
}

// answerResult answers 204, or 400 with the error if there is one.
func answerResult(c echo.Context, err error) error {
	if err != nil {
		return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *admin) putFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return answerResult(c, err)
	}
	return answerResult(c, a.standin.SetFaults(c.Param("*"), faults))
}

// putVM adds or replaces a VM. A VM without an instance gets a new one.
func (a *admin) putVM(c echo.Context) error {
	var vm api.VM
	if err := c.Bind(&vm); err != nil {
		return answerResult(c, err)
	}
	vm.ID = c.Param("id")
	return answerResult(c, a.standin.vms.put(vm))
}

func (a *admin) putVMState(c echo.Context) error {
	var body struct {
		State api.VMState `json:"state"`
	}
	if err := c.Bind(&body); err != nil {
		return answerResult(c, err)
	}
	return answerResult(c, a.standin.vms.setState(c.Param("id"), body.State))
}
