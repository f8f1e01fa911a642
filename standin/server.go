package standin

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/platform"
)

// NewServer returns the HTTP face of the simulated platform.
func NewServer(table acaciatally.TableService) http.Handler {
	server := echo.New()
	server.POST(platform.ReadPath, func(c *echo.Context) error {
		var request platform.ReadRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Read(c.Request().Context(), request.Keys...)
		return answer(c, platform.RowsResponse{Rows: rows}, err)
	})
	server.POST(platform.ScanPath, func(c *echo.Context) error {
		var request platform.ScanRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		rows, err := table.Scan(c.Request().Context(), request.Prefix, request.After, request.Limit)
		return answer(c, platform.RowsResponse{Rows: rows}, err)
	})
	server.POST(platform.CommitPath, func(c *echo.Context) error {
		var transaction acaciatally.Transaction
		if err := c.Bind(&transaction); err != nil {
			return err
		}
		version, err := table.Commit(c.Request().Context(), transaction)
		var conflict *acaciatally.ConflictError
		if errors.As(err, &conflict) {
			return c.JSON(http.StatusOK, platform.CommitResponse{Conflict: conflict.Keys})
		}
		return answer(c, platform.CommitResponse{Version: version}, err)
	})
	return server
}

func answer(c *echo.Context, response any, err error) error {
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, response)
}
