package standin

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/hosting"
)

// ServerConfig lists the services that NewPlatformServer exposes over HTTP; no routes are registered for a nil service.
type ServerConfig struct {
	Table    acaciatally.TableService
	Objects  acaciatally.ObjectStore
	List     acaciatally.InstanceList
	Control  acaciatally.InstanceControl
	Leases   acaciatally.TaskLeases
	Faults   *Faults   // configured through SwitchesPath
	Machines *Machines // registered through MachinesPath and killed through FailPath
	Tasks    *Tasks    // worker faults configured through TaskFaultsPath
}

// NewServer returns an HTTP handler that exposes only the table service.
func NewServer(table acaciatally.TableService) http.Handler {
	return NewPlatformServer(ServerConfig{Table: table})
}

// NewPlatformServer returns an HTTP handler that exposes the configured services and the admin routes.
func NewPlatformServer(config ServerConfig) http.Handler {
	server := echo.New()
	if config.Table != nil {
		registerTableRoutes(server, config.Table)
	}
	if config.Objects != nil {
		registerObjectRoutes(server, config.Objects)
	}
	if config.List != nil {
		registerInstanceRoutes(server, config.List, config.Control)
	}
	if config.Leases != nil {
		registerTaskRoutes(server, config.Leases)
	}
	registerAdminRoutes(server, config)
	return server
}

func registerTableRoutes(server *echo.Echo, table acaciatally.TableService) {
	server.POST(hosting.ReadPath, func(c *echo.Context) error {
		var request hosting.ReadRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Read(c.Request().Context(), request.Keys...)
		return respond(c, hosting.RowsResponse{Rows: rows}, err)
	})
	server.POST(hosting.ScanPath, func(c *echo.Context) error {
		var request hosting.ScanRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Scan(c.Request().Context(), request.Prefix, request.After, request.Limit)
		return respond(c, hosting.RowsResponse{Rows: rows}, err)
	})
	server.POST(hosting.CommitPath, func(c *echo.Context) error {
		var transaction acaciatally.Transaction
		if err := c.Bind(&transaction); err != nil {
			return err
		}
		version, err := table.Commit(c.Request().Context(), transaction)
		var conflict *acaciatally.ConflictError
		if errors.As(err, &conflict) {
			return c.JSON(http.StatusOK, hosting.CommitResponse{Conflict: conflict.Keys})
		}
		return respond(c, hosting.CommitResponse{Version: version}, err)
	})
}

func registerObjectRoutes(server *echo.Echo, objects acaciatally.ObjectStore) {
	server.POST(hosting.PutPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		return respond(c, hosting.Empty{}, objects.Put(c.Request().Context(), object.Name, object.Content))
	})
	server.POST(hosting.GetPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		content, err := objects.Get(c.Request().Context(), object.Name)
		return respond(c, hosting.Object{Name: object.Name, Content: content}, err)
	})
	server.POST(hosting.ListPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		names, err := objects.List(c.Request().Context(), object.Name)
		return respond(c, hosting.ListResponse{Names: names}, err)
	})
}

// respond writes response as JSON, or err as a status and an error code that hosting.Client maps back to a typed error.
func respond(c *echo.Context, response any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, response)
	}
	status, code := http.StatusInternalServerError, hosting.CodeUnknownOutcome
	switch {
	case errors.Is(err, acaciatally.ErrUnavailable):
		status, code = http.StatusServiceUnavailable, hosting.CodeUnavailable
	case errors.Is(err, acaciatally.ErrUnknownCommit):
		status = http.StatusGatewayTimeout
	case errors.Is(err, acaciatally.ErrRejected):
		status, code = http.StatusConflict, hosting.CodeRejected
	case errors.Is(err, acaciatally.ErrLeaseExpired):
		status, code = http.StatusGone, hosting.CodeLeaseExpired
	case errors.Is(err, acaciatally.ErrNoObject):
		status, code = http.StatusNotFound, hosting.CodeNoObject
	}
	return c.JSON(status, hosting.ErrorResponse{Code: code, Message: err.Error()})
}
