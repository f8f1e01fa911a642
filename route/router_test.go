package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/route"
)

var (
	testStart = time.Unix(1_000_000_000, 0)
	success   = acaciatally.AttemptResult{Status: 200, ServiceTime: 100 * time.Millisecond}
	fastError = acaciatally.AttemptResult{Outcome: acaciatally.Failed, Status: 500, ServiceTime: time.Millisecond}
	slowError = acaciatally.AttemptResult{Outcome: acaciatally.Failed, Status: 500, ServiceTime: 100 * time.Millisecond}
	refusal   = acaciatally.AttemptResult{Outcome: acaciatally.NotRun, Status: 429, Refused: true, ServiceTime: time.Millisecond}
)

func pool(workers int) (offered []route.Worker) {
	for i := range workers {
		offered = append(offered, route.Worker{
			ID: acaciatally.InstanceID(fmt.Sprint("w", i)), DataCentre: acaciatally.DataCentre(fmt.Sprint("d", i%3)), Slots: 8,
		})
	}
	return offered
}

// TestPick guards against a choice that ignores data centres, load, errors or earlier attempts, or that picks a full worker.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		busy    [4]int
		results map[int][]acaciatally.AttemptResult
		request route.Request
		want    acaciatally.InstanceID
	}{
		"local before idle":                         {busy: [4]int{0, 7, 0, 0}, request: route.Request{DataCentre: "d1"}, want: "w1"},
		"remote if local is full":                   {busy: [4]int{3, 8, 2, 4}, request: route.Request{DataCentre: "d1"}, want: "w2"},
		"least loaded local worker":                 {busy: [4]int{5, 0, 0, 4}, request: route.Request{DataCentre: "d0"}, want: "w3"},
		"untried before local":                      {request: route.Request{DataCentre: "d1", Exclude: []acaciatally.InstanceID{"w1"}}, want: "w0"},
		"tried worker if no other is free":          {busy: [4]int{8, 0, 8, 8}, request: route.Request{Exclude: []acaciatally.InstanceID{"w1"}}, want: "w1"},
		"none if all are full":                      {busy: [4]int{8, 8, 8, 8}},
		"errors count as load":                      {busy: [4]int{3, 2, 3, 3}, results: map[int][]acaciatally.AttemptResult{1: {slowError, slowError}}, want: "w0"},
		"high error rate outweighs locality":        {results: map[int][]acaciatally.AttemptResult{1: repeat(slowError, 5)}, request: route.Request{DataCentre: "d1"}, want: "w0"},
		"fast failures count as load":               {busy: [4]int{2, 1, 2, 2}, results: map[int][]acaciatally.AttemptResult{1: {fastError, fastError}}, want: "w0"},
		"probation after fast failures":             {busy: [4]int{7, 0, 7, 7}, results: map[int][]acaciatally.AttemptResult{1: repeat(fastError, 3)}, want: "w0"},
		"probation after refusals":                  {busy: [4]int{7, 0, 7, 7}, results: map[int][]acaciatally.AttemptResult{1: repeat(refusal, 3)}, want: "w0"},
		"unused picks have no effect":               {busy: [4]int{7, 0, 7, 7}, results: map[int][]acaciatally.AttemptResult{1: make([]acaciatally.AttemptResult, 30)}, want: "w1"},
		"restrictions ignored if most workers fail": {busy: [4]int{7, 0, 7, 7}, results: map[int][]acaciatally.AttemptResult{0: repeat(fastError, 3), 1: repeat(fastError, 3), 2: repeat(fastError, 3)}, want: "w1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router, workers := route.New(route.Config{}), pool(4)
			router.Report(testStart, "w3", success)
			for i := range workers {
				workers[i].BusySlots = test.busy[i]
				reportAll(router, testStart, workers[i].ID, test.results[i])
			}
			usable := router.Usable(testStart, workers)
			got, found := router.Pick(testStart, test.request, workers)
			require.Equal(t, test.want, got)
			require.Equal(t, test.want != "", found)
			require.Equal(t, found, usable > test.busy[0]+test.busy[1]+test.busy[2]+test.busy[3], "Usable and Pick disagree")
		})
	}
}

func repeat(result acaciatally.AttemptResult, times int) (results []acaciatally.AttemptResult) {
	for range times {
		results = append(results, result)
	}
	return results
}

func reportAll(router *route.Router, now time.Time, worker acaciatally.InstanceID, results []acaciatally.AttemptResult) {
	for _, result := range results {
		router.Report(now, worker, result)
	}
}

// TestBreaker guards against a breaker that opens or closes too early, or admits too many probes.
func TestBreaker(t *testing.T) {
	workers := pool(3)
	workers[1].BusySlots, workers[2].BusySlots = 8, 8
	router := route.New(route.Config{})
	allowed := func(at time.Duration) int { return router.Usable(testStart.Add(at), workers) - 16 }

	reportAll(router, testStart, "w0", append(repeat(success, 9), repeat(slowError, 10)...))
	require.Equal(t, 8, allowed(time.Second), "19 samples are too few")
	router.Report(testStart, "w0", slowError)
	require.Zero(t, allowed(time.Second), "11 of 20 samples are errors")
	require.Zero(t, allowed(29*time.Second))

	probe := func(result acaciatally.AttemptResult) {
		at := testStart.Add(31 * time.Second)
		_, found := router.Pick(at, route.Request{}, workers)
		require.True(t, found)
		router.Report(at, "w0", result)
	}
	for successes := range 4 {
		require.Equal(t, successes+1, allowed(31*time.Second), "one more probe than successes")
		probe(success)
	}
	probe(acaciatally.AttemptResult{})
	require.Equal(t, 5, allowed(31*time.Second), "an unused probe has no effect")
	probe(slowError)
	require.Zero(t, allowed(32*time.Second), "a failed probe reopens the breaker")
	require.Equal(t, 1, allowed(62*time.Second))
}

// TestBreakerCloses guards against a recovered worker whose breaker stays open.
func TestBreakerCloses(t *testing.T) {
	workers := pool(1)
	router := route.New(route.Config{MaxRestricted: 1})
	reportAll(router, testStart, "w0", repeat(slowError, 20))
	at := testStart.Add(30 * time.Second)
	for range 5 {
		_, found := router.Pick(at, route.Request{}, workers)
		require.True(t, found)
		router.Report(at, "w0", success)
	}
	require.Equal(t, 8, router.Usable(at, workers))
}

// TestFastFailingWorkerShare guards against a worker that attracts requests because it fails fast: its attempts fail within 1 ms,
// the others take 100 ms. Its share of the attempts must not exceed that of a healthy worker.
func TestFastFailingWorkerShare(t *testing.T) {
	for name, withoutProbation := range map[string]bool{"with probation": false, "without probation": true} {
		t.Run(name, func(t *testing.T) {
			router := route.New(route.Config{DisableProbation: withoutProbation, DisableBreaker: true})
			share := failingWorkerShare(router, pool(6))
			if withoutProbation {
				require.Greater(t, share, 0.5, "without probation the worker attracts requests")
				return
			}
			require.Less(t, share, 1.0/6)
		})
	}
}

// failingWorkerShare sends 10,000 requests, one per millisecond, and returns the share that the failing worker received.
func failingWorkerShare(router *route.Router, workers []route.Worker) float64 {
	const requests, service = 10_000, 100
	ends, failed := map[int][]int{}, 0
	for tick := range requests {
		now := testStart.Add(time.Duration(tick) * time.Millisecond)
		for _, index := range ends[tick] {
			workers[index].BusySlots--
			result := success
			if index == 0 {
				result = fastError
			}
			router.Report(now, workers[index].ID, result)
		}
		id, found := router.Pick(now, route.Request{DataCentre: acaciatally.DataCentre(fmt.Sprint("d", tick%3))}, workers)
		if !found {
			continue
		}
		for index := range workers {
			if workers[index].ID != id {
				continue
			}
			workers[index].BusySlots++
			if index == 0 {
				failed++
				ends[tick+1] = append(ends[tick+1], index)
			} else {
				ends[tick+service] = append(ends[tick+service], index)
			}
		}
	}
	return float64(failed) / requests
}

// TestProbationEnds guards against a recovered worker that stays in probation, and against too frequent attempts during probation.
func TestProbationEnds(t *testing.T) {
	workers := pool(3)
	workers[1].BusySlots, workers[2].BusySlots = 8, 8
	router := route.New(route.Config{})
	reportAll(router, testStart, "w0", repeat(fastError, 3))
	now := testStart
	for range 5 {
		now = now.Add(1100 * time.Millisecond)
		_, found := router.Pick(now, route.Request{}, workers)
		require.True(t, found)
		_, found = router.Pick(now, route.Request{}, workers)
		require.False(t, found, "one attempt at a time")
		router.Report(now, "w0", success)
	}
	require.Equal(t, 24, router.Usable(now, workers))
}

// TestPickTwo guards against a fallback choice that is not random or takes the more loaded of two workers.
func TestPickTwo(t *testing.T) {
	workers, random := pool(4), rand.New(rand.NewPCG(1, 2))
	workers[0].BusySlots, workers[1].BusySlots, workers[2].BusySlots = 8, 5, 4
	router, picks := route.New(route.Config{}), map[acaciatally.InstanceID]int{}
	for range 3000 {
		id, found := router.PickTwo(testStart, random, route.Request{}, workers)
		require.True(t, found)
		picks[id]++
	}
	require.Zero(t, picks["w0"], "full")
	require.Zero(t, picks["w1"], "always the more loaded one")
	require.InDelta(t, 1000, picks["w2"], 100)
	require.InDelta(t, 2000, picks["w3"], 100)
}

// TestFallbackSlots guards against entries without a slot home that together use more slots of a worker than it has, except for
// rounding.
func TestFallbackSlots(t *testing.T) {
	for name, test := range map[string]struct{ slots, entries, want int }{
		"alone": {8, 1, 8}, "unknown": {8, 0, 8}, "two": {8, 2, 4}, "nine": {8, 9, 1}, "three": {8, 3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, route.FallbackSlots(test.slots, test.entries))
		})
	}
}

// TestFailuresCountAsLoad guards against a worker that fails half of its requests fast and therefore receives all requests that
// other workers have no slots for.
func TestFailuresCountAsLoad(t *testing.T) {
	workers := pool(3)
	workers[1].BusySlots, workers[2].BusySlots = 8, 8
	router := route.New(route.Config{})
	for range 8 {
		reportAll(router, testStart, "w0", []acaciatally.AttemptResult{success, fastError})
	}
	_, found := router.Pick(testStart.Add(90*time.Millisecond), route.Request{}, workers)
	require.False(t, found)
	_, found = router.Pick(testStart.Add(110*time.Millisecond), route.Request{}, workers)
	require.True(t, found)
}

// TestCutOff guards against breakers that open because of callers' short deadlines, and against workers that never answer and count
// as healthy.
func TestCutOff(t *testing.T) {
	tests := map[string]struct {
		after  time.Duration
		usable int
	}{
		"short deadlines":      {after: 60 * time.Millisecond, usable: 24},
		"worker never answers": {after: time.Second, usable: 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router, workers := route.New(route.Config{}), pool(3)
			router.Report(testStart, "w1", success)
			cut := acaciatally.AttemptResult{Outcome: acaciatally.Unknown, EndedByCaller: true, ServiceTime: test.after}
			reportAll(router, testStart, "w0", repeat(cut, 20))
			require.Equal(t, test.usable, router.Usable(testStart, workers))
		})
	}
}

// TestRequestsFailingOnAllWorkers guards against restricting healthy workers because of requests that fail on every worker, and
// against a faulty worker that goes unnoticed among them.
func TestRequestsFailingOnAllWorkers(t *testing.T) {
	for name, share := range map[string]float64{"a tenth": 0.1, "a third": 0.33, "half": 0.5} {
		t.Run(name, func(t *testing.T) {
			router, workers, random := route.New(route.Config{}), pool(9), rand.New(rand.NewPCG(3, 4))
			now := testStart
			report := func(first int) {
				now = now.Add(10 * time.Millisecond)
				for _, worker := range workers[first:] {
					result := success
					if random.Float64() < share {
						result = fastError
					}
					router.Report(now, worker.ID, result)
				}
			}
			restricted := 0
			for range 3000 {
				report(0)
				restricted += 72 - router.Usable(now, workers)
			}
			require.Less(t, float64(restricted)/3000, 3.6, "more than a twentieth of the slots restricted")
			for range 200 {
				report(1)
				router.Report(now, "w0", fastError)
			}
			for i := range workers[1:] {
				workers[1+i].BusySlots = 8
			}
			require.LessOrEqual(t, router.Usable(now, workers)-64, 1, "faulty worker")
		})
	}
}
