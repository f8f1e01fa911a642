package control

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/rhythm"
)

// DemandForecaster forecasts the demand of each pool from its history; it is not safe for concurrent use.
type DemandForecaster struct {
	pools map[acaciatally.PoolName]*rhythm.Forecaster
}

// NewDemandForecaster returns a forecaster without history.
func NewDemandForecaster() *DemandForecaster {
	return &DemandForecaster{pools: map[acaciatally.PoolName]*rhythm.Forecaster{}}
}

// Observe adds the present demand of the pools.
func (o *DemandForecaster) Observe(at time.Time, demand []acaciatally.PoolDemand) {
	for _, one := range demand {
		if o.pools[one.Pool] == nil {
			o.pools[one.Pool] = rhythm.New(rhythm.Config{})
		}
		o.pools[one.Pool].Observe(at, one.Slots)
	}
}

// Forecast returns the peak of a pool's demand between two times; a pool without history has none.
func (o *DemandForecaster) Forecast(pool acaciatally.PoolName, from, to time.Time) rhythm.Forecast {
	if o.pools[pool] == nil {
		return rhythm.Forecast{ShortHistory: true}
	}
	return o.pools[pool].Forecast(from, to)
}
