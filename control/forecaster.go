package control

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/forecast"
)

// DemandForecaster forecasts the demand of each pool from its history; it is not safe for concurrent use.
type DemandForecaster struct {
	pools map[acaciatally.PoolName]*forecast.Forecaster
}

// NewDemandForecaster returns a forecaster without history.
func NewDemandForecaster() *DemandForecaster {
	return &DemandForecaster{pools: map[acaciatally.PoolName]*forecast.Forecaster{}}
}

// Observe adds a sample of the demand of each pool.
func (f *DemandForecaster) Observe(at time.Time, demand []acaciatally.PoolDemand) {
	for _, sample := range demand {
		if f.pools[sample.Pool] == nil {
			f.pools[sample.Pool] = forecast.New(forecast.Config{})
		}
		f.pools[sample.Pool].Observe(at, sample.Slots)
	}
}

// Forecast returns the expected peak of a pool's demand between two times; for a pool without samples it has ShortHistory set.
func (f *DemandForecaster) Forecast(pool acaciatally.PoolName, from, to time.Time) forecast.Forecast {
	if f.pools[pool] == nil {
		return forecast.Forecast{ShortHistory: true}
	}
	return f.pools[pool].Forecast(from, to)
}
