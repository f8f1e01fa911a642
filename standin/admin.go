package standin

import (
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/hosting"
)

// The admin paths, under which scripts register machines, inject faults and read counters.
const (
	SwitchesPath   = "/admin/switches"    // GET or POST Switches
	CountersPath   = "/admin/counters"    // GET Counters
	MachinesPath   = "/admin/machines"    // POST MachineRegistration
	FailPath       = "/admin/fail"        // POST Failure
	TaskFaultsPath = "/admin/task-faults" // POST TaskFaults
)

// MachineRegistration is the request body that adds a machine to the simulated platform.
type MachineRegistration struct {
	ID         acaciatally.InstanceID
	Address    netip.AddrPort
	DataCentre acaciatally.DataCentre
	Rack       acaciatally.Rack
	Resources  acaciatally.Resources
}

// Failure is the request body that makes a machine, a rack or a data centre fail. With Revive, it restarts the failed machine Instance.
type Failure struct {
	Instance   acaciatally.InstanceID
	Rack       acaciatally.Rack
	DataCentre acaciatally.DataCentre
	Revive     bool
}

// TaskFaults is the request body that replaces the faults of a worker that runs tasks.
type TaskFaults struct {
	Worker acaciatally.InstanceID
	Faults TaskWorkerFaults
}

func registerAdminRoutes(server *echo.Echo, config ServerConfig) {
	if config.Faults != nil {
		registerSwitchRoutes(server, config.Faults)
	}
	if config.Machines != nil {
		registerMachineRoutes(server, config.Machines, config.Tasks)
	}
	if config.Tasks != nil {
		server.POST(TaskFaultsPath, func(c *echo.Context) error {
			var request TaskFaults
			if err := c.Bind(&request); err != nil {
				return err
			}
			config.Tasks.SetFaults(request.Worker, request.Faults)
			return c.JSON(http.StatusOK, hosting.Empty{})
		})
	}
}

func registerSwitchRoutes(server *echo.Echo, faults *Faults) {
	server.GET(SwitchesPath, func(c *echo.Context) error { return c.JSON(http.StatusOK, faults.Switches()) })
	server.GET(CountersPath, func(c *echo.Context) error { return c.JSON(http.StatusOK, faults.Counters()) })
	server.POST(SwitchesPath, func(c *echo.Context) error {
		var switches Switches
		if err := c.Bind(&switches); err != nil {
			return err
		}
		faults.Set(switches)
		return c.JSON(http.StatusOK, switches)
	})
}

func registerMachineRoutes(server *echo.Echo, machines *Machines, tasks *Tasks) {
	server.POST(MachinesPath, func(c *echo.Context) error {
		var request MachineRegistration
		if err := c.Bind(&request); err != nil {
			return err
		}
		machines.Add(MachineConfig{
			ID: request.ID, Address: request.Address, DataCentre: request.DataCentre, Rack: request.Rack,
			Host: NewRemoteHost(request.Address),
		})
		if tasks != nil {
			tasks.AddWorker(request.ID, request.Resources)
		}
		return c.JSON(http.StatusOK, hosting.Empty{})
	})
	server.POST(FailPath, func(c *echo.Context) error {
		var request Failure
		if err := c.Bind(&request); err != nil {
			return err
		}
		machines.applyFailure(request)
		return c.JSON(http.StatusOK, hosting.Empty{})
	})
}

func (m *Machines) applyFailure(failure Failure) {
	switch {
	case failure.Revive:
		m.Revive(failure.Instance)
	case failure.Instance != "":
		m.Kill(failure.Instance)
	case failure.Rack != "":
		m.KillRack(failure.Rack)
	case failure.DataCentre != "":
		m.KillDataCentre(failure.DataCentre)
	}
}
