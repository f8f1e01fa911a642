package control

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/rhythm"
)

// Outlook keeps the rhythm of each pool; one goroutine uses it.
type Outlook struct {
	pools map[acaciatally.PoolName]*rhythm.Rhythm
}

// NewOutlook returns an outlook without history.
func NewOutlook() *Outlook {
	return &Outlook{pools: map[acaciatally.PoolName]*rhythm.Rhythm{}}
}

// Observe adds the present demand of the pools.
func (o *Outlook) Observe(at time.Time, demand []acaciatally.PoolDemand) {
	for _, one := range demand {
		if o.pools[one.Pool] == nil {
			o.pools[one.Pool] = rhythm.New(rhythm.Config{})
		}
		o.pools[one.Pool].Observe(at, one.Slots)
	}
}

// Forecast returns the peak of a pool's demand between two times; a pool without history has none.
func (o *Outlook) Forecast(pool acaciatally.PoolName, from, to time.Time) rhythm.Forecast {
	if o.pools[pool] == nil {
		return rhythm.Forecast{Cold: true}
	}
	return o.pools[pool].Forecast(from, to)
}
