package standin

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/hosting"
)

// ServerConfig names the services behind the HTTP face; the paths of a nil service are absent.
type ServerConfig struct {
	Table    acaciatally.TableService
	Objects  acaciatally.ObjectStore
	List     acaciatally.InstanceList
	Control  acaciatally.InstanceControl
	Leases   acaciatally.TaskLeases
	Faults   *Faults   // switched through the admin path
	Machines *Machines // killed and registered through the admin path
	Tasks    *Tasks    // faults of workers set through the admin path
}

// NewServer returns the HTTP face of a simulated table service.
func NewServer(table acaciatally.TableService) http.Handler {
	return NewPlatformServer(ServerConfig{Table: table})
}

// NewPlatformServer returns the HTTP face of the simulated platform.
func NewPlatformServer(config ServerConfig) http.Handler {
	server := echo.New()
	if config.Table != nil {
		serveTable(server, config.Table)
	}
	if config.Objects != nil {
		serveObjects(server, config.Objects)
	}
	if config.List != nil {
		serveInstances(server, config.List, config.Control)
	}
	if config.Leases != nil {
		serveTasks(server, config.Leases)
	}
	serveAdmin(server, config)
	return server
}

func serveTable(server *echo.Echo, table acaciatally.TableService) {
	server.POST(hosting.ReadPath, func(c *echo.Context) error {
		var request hosting.ReadRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Read(c.Request().Context(), request.Keys...)
		return answer(c, hosting.RowsResponse{Rows: rows}, err)
	})
	server.POST(hosting.ScanPath, func(c *echo.Context) error {
		var request hosting.ScanRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Scan(c.Request().Context(), request.Prefix, request.After, request.Limit)
		return answer(c, hosting.RowsResponse{Rows: rows}, err)
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
		return answer(c, hosting.CommitResponse{Version: version}, err)
	})
}

func serveObjects(server *echo.Echo, objects acaciatally.ObjectStore) {
	server.POST(hosting.PutPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		return answer(c, hosting.Empty{}, objects.Put(c.Request().Context(), object.Name, object.Content))
	})
	server.POST(hosting.GetPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		content, err := objects.Get(c.Request().Context(), object.Name)
		return answer(c, hosting.Object{Name: object.Name, Content: content}, err)
	})
	server.POST(hosting.ListPath, func(c *echo.Context) error {
		var object hosting.Object
		if err := c.Bind(&object); err != nil {
			return err
		}
		names, err := objects.List(c.Request().Context(), object.Name)
		return answer(c, hosting.ListResponse{Names: names}, err)
	})
}

// answer writes the response, or the error with the code that hosting.Client turns back into a typed error.
func answer(c *echo.Context, response any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, response)
	}
	status, code := http.StatusInternalServerError, hosting.CodeUnknown
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
