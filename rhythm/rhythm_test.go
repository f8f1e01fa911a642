package rhythm_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/rhythm"
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

// TestForecast guards against a burst that is not seen coming although the history shows its period.
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
			subject := rhythm.New(rhythm.Config{})
			phase, hits, bursts := 0.0, 0, 0
			value := func(phase float64) float64 { return burst(phase*test.period, test.period) }
			for second := range 1800 {
				now := epoch.Add(time.Duration(second) * time.Second)
				step := 1 / (test.period + test.drift*float64(second))
				if second > 900 && value(phase) < 50 && value(phase+3*step) > 50 {
					bursts++
					forecast := subject.Forecast(now.Add(2*time.Second), now.Add(5*time.Second))
					if forecast.Slots > 70 {
						hits++
					}
				}
				if random.Float64() >= test.missing {
					subject.Observe(now, max(0, value(phase)+test.noise*random.NormFloat64()))
				}
				phase += step
			}
			require.GreaterOrEqual(t, float64(hits), 0.9*float64(bursts), "%d of %d", hits, bursts)
			require.Positive(t, bursts)
		})
	}
}

// TestNoPeriod guards against a period found in noise, and against a forecast below what was seen moments ago.
func TestNoPeriod(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	subject := rhythm.New(rhythm.Config{})
	for second := range 900 {
		subject.Observe(epoch.Add(time.Duration(second)*time.Second), 20+5*random.NormFloat64())
	}
	now := epoch.Add(900 * time.Second)
	forecast := subject.Forecast(now, now.Add(5*time.Second))
	require.Zero(t, forecast.Period)
	require.Less(t, forecast.Confidence, 0.5)
	require.Greater(t, forecast.Slots, 20.0)
}

// TestQuietSpan guards against capacity held between bursts because the forecast always names the peak.
func TestQuietSpan(t *testing.T) {
	subject := rhythm.New(rhythm.Config{})
	for second := range 620 {
		subject.Observe(epoch.Add(time.Duration(second)*time.Second), burst(float64(second), 60))
	}
	now := epoch.Add(620 * time.Second)
	require.Less(t, subject.Forecast(now, now.Add(30*time.Second)).Slots, 10.0)
	require.Greater(t, subject.Forecast(now, now.Add(45*time.Second)).Slots, 80.0)
}

// TestLostPeriod guards against a burst that is not seen coming because the data of the period before it is missing.
func TestLostPeriod(t *testing.T) {
	subject := rhythm.New(rhythm.Config{})
	for second := range 596 {
		if second < 530 || second > 570 {
			subject.Observe(epoch.Add(time.Duration(second)*time.Second), burst(float64(second), 60))
		}
	}
	now := epoch.Add(596 * time.Second)
	require.Greater(t, subject.Forecast(now.Add(2*time.Second), now.Add(6*time.Second)).Slots, 80.0)
}

// BenchmarkForecast measures a second's work for one pool: a sample, a forecast and the search every ten seconds.
func BenchmarkForecast(b *testing.B) {
	subject := rhythm.New(rhythm.Config{})
	second := 0
	for b.Loop() {
		now := epoch.Add(time.Duration(second) * time.Second)
		subject.Observe(now, burst(float64(second), 60))
		subject.Forecast(now, now.Add(time.Minute))
		second++
	}
}

// TestCold guards against a short history that passes for knowledge of a quiet pool.
func TestCold(t *testing.T) {
	known := rhythm.New(rhythm.Config{})
	start := time.Unix(100_000, 0)
	for second := range 200 {
		at := start.Add(time.Duration(second) * time.Second)
		known.Observe(at, 1)
		require.Equal(t, second < 180, known.Forecast(at, at).ShortHistory, "after %d s", second)
	}
}
