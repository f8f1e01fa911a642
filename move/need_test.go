package move_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/forecast"
	"github.com/acaciatally/acaciatally/move"
)

// shortHistory is the forecast of a controller that has just started.
type shortHistory struct{ demandForecast }

func (h shortHistory) Forecast(pool acaciatally.PoolName, from, to time.Time) forecast.Forecast {
	forecast := h.demandForecast.Forecast(pool, from, to)
	forecast.ShortHistory = true
	return forecast
}

// TestShortHistory guards against a new controller that treats pools without history as idle and moves their own instances to the spare
// pool.
func TestShortHistory(t *testing.T) {
	state := newState(t)
	quiet := demandForecast{"intake": {now: 1}, "coating": {now: 1}, "booking": {now: 1}, "chamber": {now: 1}}
	require.NotEmpty(t, planMoves(state, now, quiet), "with enough history, idle instances move to the spare pool")
	actions := move.New(move.Config{}).Plan(move.Input{Now: now, Draft: state.Draft(now), Forecaster: shortHistory{quiet}})
	require.Empty(t, actions)
}
