package command

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/ingress"
)

const maxRequestBytes = 8 << 10

// Operator is a person who may send commands and queries, authenticated by the token.
type Operator struct {
	Name  string
	Token string
}

// Server serves the operators' commands, queries and completions over HTTP.
type Server struct {
	evaluator *Evaluator
	operators []Operator
}

// NewServer returns an HTTP server for an evaluator.
func NewServer(evaluator *Evaluator, operators []Operator) *Server {
	return &Server{evaluator: evaluator, operators: operators}
}

// Register adds the routes of the server.
func (s *Server) Register(routes *echo.Echo) {
	routes.POST(CommandPath, s.handleCommand)
	routes.GET(CompletePath, s.handleComplete)
}

func (s *Server) handleCommand(c *echo.Context) error {
	operator, found := s.authenticate(c.Request())
	if !found {
		return writeFailure(c, http.StatusUnauthorized, &Failure{Message: "operator's token is missing or wrong", Outcome: acaciatally.NotRun})
	}
	body, err := ingress.ReadBody(c.Response(), c.Request(), maxRequestBytes)
	var notAccepted *acaciatally.NotAcceptedError
	if errors.As(err, &notAccepted) {
		return writeFailure(c, http.StatusServiceUnavailable, &Failure{Message: notAccepted.Reason, Outcome: acaciatally.NotRun})
	}
	if err != nil {
		return writeFailure(c, http.StatusRequestEntityTooLarge, &Failure{Message: "command is too long", Outcome: acaciatally.NotRun})
	}
	var request Request
	if err = json.Unmarshal(body, &request); err != nil || request.ID == "" {
		return writeFailure(c, http.StatusBadRequest, &Failure{Message: "request body must be JSON with ID and Text", Outcome: acaciatally.NotRun})
	}
	request.By = operator.Name
	result, err := s.evaluator.Run(c.Request().Context(), request)
	if err != nil {
		status, failure := failureOf(err)
		return writeFailure(c, status, failure)
	}
	return c.JSON(http.StatusOK, result)
}

func (s *Server) handleComplete(c *echo.Context) error {
	if _, found := s.authenticate(c.Request()); !found {
		return writeFailure(c, http.StatusUnauthorized, &Failure{Message: "operator's token is missing or wrong", Outcome: acaciatally.NotRun})
	}
	return c.JSON(http.StatusOK, Completion{Words: s.evaluator.Complete(c.QueryParam("partial"))})
}

// authenticate returns the operator whose token the request carries. It compares every token in constant time, so that response times
// reveal nothing about the tokens.
func (s *Server) authenticate(request *http.Request) (operator Operator, found bool) {
	token := []byte(strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "))
	for _, known := range s.operators {
		if subtle.ConstantTimeCompare(token, []byte(known.Token)) == 1 {
			operator, found = known, true
		}
	}
	return operator, found
}

func failureOf(err error) (status int, failure *Failure) {
	failure = &Failure{Message: err.Error(), Outcome: acaciatally.NotRun}
	var syntax *SyntaxError
	var budget *fleet.BudgetError
	var invalid *fleet.InvalidChangeError
	var conflict *fleet.VersionConflictError
	switch {
	case errors.As(err, &syntax):
		failure.Message, failure.Pointer = syntax.Error(), syntax.Pointer()
		return http.StatusBadRequest, failure
	case errors.As(err, &budget), errors.As(err, &invalid), errors.As(err, &conflict):
		return http.StatusConflict, failure
	case errors.Is(err, acaciatally.ErrUnknownCommit):
		failure.Outcome = acaciatally.Unknown
	}
	return http.StatusServiceUnavailable, failure
}

func writeFailure(c *echo.Context, status int, failure *Failure) error {
	return c.JSON(status, failure)
}
