package command

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

const maxOrder = 8 << 10 // bytes

// Operator is allowed to give orders.
type Operator struct {
	Name  string
	Token string
}

// Server answers operators over HTTP.
type Server struct {
	evaluator *Evaluator
	operators []Operator
}

// NewServer returns the HTTP face of an evaluator.
func NewServer(evaluator *Evaluator, operators []Operator) *Server {
	return &Server{evaluator: evaluator, operators: operators}
}

// Register adds the server's routes.
func (s *Server) Register(routes *echo.Echo) {
	routes.POST(OrderPath, s.order)
	routes.GET(CompletePath, s.complete)
}

func (s *Server) order(c *echo.Context) error {
	operator, found := s.operator(c.Request())
	if !found {
		return fail(c, http.StatusUnauthorized, &Failure{Message: "operator's token is missing or wrong", Outcome: acaciatally.NotRun})
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxOrder))
	if err != nil {
		return fail(c, http.StatusRequestEntityTooLarge, &Failure{Message: "order is too long", Outcome: acaciatally.NotRun})
	}
	var order Order
	if err = json.Unmarshal(body, &order); err != nil || order.ID == "" {
		return fail(c, http.StatusBadRequest, &Failure{Message: "order wants JSON with ID and Text", Outcome: acaciatally.NotRun})
	}
	order.By = operator.Name
	result, err := s.evaluator.Run(c.Request().Context(), order)
	if err != nil {
		status, failure := describe(err)
		return fail(c, status, failure)
	}
	return c.JSON(http.StatusOK, result)
}

func (s *Server) complete(c *echo.Context) error {
	if _, found := s.operator(c.Request()); !found {
		return fail(c, http.StatusUnauthorized, &Failure{Message: "operator's token is missing or wrong", Outcome: acaciatally.NotRun})
	}
	return c.JSON(http.StatusOK, Completion{Words: s.evaluator.Complete(c.QueryParam("partial"))})
}

// operator compares every token in constant time, so that response times tell nothing about them.
func (s *Server) operator(request *http.Request) (operator Operator, found bool) {
	token := []byte(strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "))
	for _, known := range s.operators {
		if subtle.ConstantTimeCompare(token, []byte(known.Token)) == 1 {
			operator, found = known, true
		}
	}
	return operator, found
}

func describe(err error) (status int, failure *Failure) {
	failure = &Failure{Message: err.Error(), Outcome: acaciatally.NotRun}
	var syntax *SyntaxError
	var budget *fleet.BudgetError
	var invalid *fleet.InvalidChangeError
	var race *fleet.RaceError
	switch {
	case errors.As(err, &syntax):
		failure.Message, failure.Pointer = syntax.Error(), syntax.Pointer()
		return http.StatusBadRequest, failure
	case errors.As(err, &budget), errors.As(err, &invalid), errors.As(err, &race):
		return http.StatusConflict, failure
	case errors.Is(err, acaciatally.ErrUnknownCommit):
		failure.Outcome = acaciatally.Unknown
	}
	return http.StatusServiceUnavailable, failure
}

func fail(c *echo.Context, status int, failure *Failure) error {
	return c.JSON(status, failure)
}
