package forecast_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/forecast"
)

var epoch = time.Unix(1_800_000_000, 0)

// burst is a demand of 90 slots for a fifth of each period and 1 slot otherwise.
func burst(second, period float64) float64 {
	phase := second - float64(int(second/period))*period
	if phase < period/5 {
		return 90
	}
	return 1
}

// TestForecast guards against a burst that is not forecast although the history shows its period.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		period  float64
		drift   float64 // growth of the period per second
		missing float64
		noise   float64
	}{
		"steady":                   {period: 60},
		"not a whole number":       {period: 47.3},
		"short":                    {period: 20},
		"long":                     {period: 200},
		"a fifth of data missing":  {period: 60, missing: 0.2},
		"noise":                    {period: 60, noise: 10},
		"drifting by 10 % in 600s": {period: 60, drift: 0.01},
		"drifting by 30 % in 600s": {period: 60, drift: 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			forecaster := forecast.New(forecast.Config{})
			phase, hits, bursts := 0.0, 0, 0
			value := func(phase float64) float64 { return burst(phase*test.period, test.period) }
			for second := range 1800 {
				now := epoch.Add(time.Duration(second) * time.Second)
				step := 1 / (test.period + test.drift*float64(second))
				if second > 900 && value(phase) < 50 && value(phase+3*step) > 50 {
					bursts++
					forecast := forecaster.Forecast(now.Add(2*time.Second), now.Add(5*time.Second))
					if forecast.Slots > 70 {
						hits++
					}
				}
				if random.Float64() >= test.missing {
					forecaster.Observe(now, max(0, value(phase)+test.noise*random.NormFloat64()))
				}
				phase += step
			}
			require.GreaterOrEqual(t, float64(hits), 0.9*float64(bursts), "%d of %d", hits, bursts)
			require.Positive(t, bursts)
		})
	}
}

// TestNoPeriod guards against a period found in noise, and against a forecast below the recent demand.
func TestNoPeriod(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	forecaster := forecast.New(forecast.Config{})
	for second := range 900 {
		forecaster.Observe(epoch.Add(time.Duration(second)*time.Second), 20+5*random.NormFloat64())
	}
	now := epoch.Add(900 * time.Second)
	forecast := forecaster.Forecast(now, now.Add(5*time.Second))
	require.Zero(t, forecast.Period)
	require.Less(t, forecast.Confidence, 0.5)
	require.Greater(t, forecast.Slots, 20.0)
}

// TestForecastBetweenBursts guards against capacity that is kept between bursts because the forecast always returns the peak.
func TestForecastBetweenBursts(t *testing.T) {
	forecaster := forecast.New(forecast.Config{})
	for second := range 620 {
		forecaster.Observe(epoch.Add(time.Duration(second)*time.Second), burst(float64(second), 60))
	}
	now := epoch.Add(620 * time.Second)
	require.Less(t, forecaster.Forecast(now, now.Add(30*time.Second)).Slots, 10.0)
	require.Greater(t, forecaster.Forecast(now, now.Add(45*time.Second)).Slots, 80.0)
}

// TestMissingPeriod guards against a burst that is not forecast because the samples of the preceding burst are missing.
func TestMissingPeriod(t *testing.T) {
	forecaster := forecast.New(forecast.Config{})
	for second := range 596 {
		if second < 530 || second > 570 {
			forecaster.Observe(epoch.Add(time.Duration(second)*time.Second), burst(float64(second), 60))
		}
	}
	now := epoch.Add(596 * time.Second)
	require.Greater(t, forecaster.Forecast(now.Add(2*time.Second), now.Add(6*time.Second)).Slots, 80.0)
}

// BenchmarkForecast measures the work of one second for one pool: a sample, a forecast, and a search for the period each ten seconds.
func BenchmarkForecast(b *testing.B) {
	forecaster := forecast.New(forecast.Config{})
	second := 0
	for b.Loop() {
		now := epoch.Add(time.Duration(second) * time.Second)
		forecaster.Observe(now, burst(float64(second), 60))
		forecaster.Forecast(now, now.Add(time.Minute))
		second++
	}
}

// TestShortHistory guards against a history that is too short and still counts as evidence of an idle pool.
func TestShortHistory(t *testing.T) {
	forecaster := forecast.New(forecast.Config{})
	start := time.Unix(100_000, 0)
	for second := range 200 {
		at := start.Add(time.Duration(second) * time.Second)
		forecaster.Observe(at, 1)
		require.Equal(t, second < 180, forecaster.Forecast(at, at).ShortHistory, "after %d s", second)
	}
}
