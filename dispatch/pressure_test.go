package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// pressureOf returns the estimated wait of an account, and whether it is under pressure.
func pressureOf(list []AccountPressure, account acaciatally.AccountName) (wait time.Duration, found bool) {
	for _, p := range list {
		if p.Account == account {
			return p.Wait, true
		}
	}
	return 0, false
}

// TestPressureOfHotAccount guards against jobs of an account that are accepted although they would wait in vain, against an account within its
// share that counts as under pressure because of the load of another, and against pressure that is reported while there is capacity or
// long after the load has gone. The hot account sends 7.5 times its usual load for 8 s.
func TestPressureOfHotAccount(t *testing.T) {
	const begin, end = 5 * time.Second, 13 * time.Second
	weights := map[acaciatally.AccountName]float64{"hot": 4, "b": 4, "c": 4, "d": 4}
	loads := []simulatedLoad{{account: "hot", perSecond: during(begin, end, 4, 30)}}
	for _, name := range []acaciatally.AccountName{"b", "c", "d"} {
		loads = append(loads, simulatedLoad{account: name, perSecond: constant(4)})
	}
	for i := range loads {
		loads[i].queue, loads[i].step, loads[i].runTime = testQueue(), testStep(4, 1000), meanRunTime
	}
	s := newShareSimulation(t, weights, loads...)
	useless := 0 // rounds of the surge in which a new job would wait for longer than a job may
	s.afterRound = func(now time.Duration) {
		list := s.scheduler.accountPressure(now)
		wait, hot := pressureOf(list, "hot")
		require.LessOrEqual(t, len(list), 1)
		require.True(t, hot || len(list) == 0, "%v at %v", list, now)
		if now < begin {
			require.Empty(t, list, now)
		}
		if now > end+3*time.Second { // what still waited when the surge ended was in time for about 2 s
			require.Less(t, wait, 200*time.Millisecond, now)
		}
		if now >= begin+3*time.Second && now < end && wait > time.Second {
			useless++
		}
	}
	s.run(20*time.Second, 0)
	require.GreaterOrEqual(t, useless, 4*int(time.Second/simulationStep))
}

// TestPressureEstimate guards against an estimate that is far from the time that jobs wait.
func TestPressureEstimate(t *testing.T) {
	const at = 4 * time.Second // when the estimate is taken
	patient := testQueue()
	patient.Objective = 20 * time.Second // nothing is late
	small, large := testStep(1, 1000), testStep(4, 1000)
	tests := map[string]struct {
		account, other simulatedLoad
		wait           float64 // in seconds
	}{
		// 50 jobs a second of 4 tasks arrive, of which half the fleet carries 12.5: 150 wait.
		"half the fleet": {
			simulatedLoad{account: "a", perSecond: constant(50), queue: patient, step: large},
			simulatedLoad{account: "b", perSecond: constant(50), queue: patient, step: large},
			12,
		},
		// 100 jobs a second of 1 task arrive, and the other account, which is within its rate, leaves 36 % of the fleet, or 36 a second: 256 wait.
		"less than its share": {
			simulatedLoad{account: "a", perSecond: constant(100), queue: patient, step: small},
			simulatedLoad{account: "b", perSecond: constant(16), queue: patient, step: large},
			7.1,
		},
		// 150 jobs a second of 1 task arrive; the fleet carries 100: 200 wait.
		"whole fleet": {
			simulatedLoad{account: "a", perSecond: constant(150), queue: patient, step: small},
			simulatedLoad{account: "b", perSecond: constant(0), queue: patient, step: large},
			2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.account.runTime, test.other.runTime = meanRunTime, meanRunTime
			s := newShareSimulation(t, map[acaciatally.AccountName]float64{"a": 16, "b": 16}, test.account, test.other)
			wait := time.Duration(0)
			s.afterRound = func(now time.Duration) {
				list := s.scheduler.accountPressure(now)
				if now == at {
					wait, _ = pressureOf(list, "a")
				}
			}
			s.run(at+simulationStep, 0)
			require.InEpsilon(t, test.wait, wait.Seconds(), 0.15)
		})
	}
}

// TestNoPressureWithoutAccounts guards against refusals where no accounts are configured.
func TestNoPressureWithoutAccounts(t *testing.T) {
	s := newShareSimulation(t, nil, simulatedLoad{account: "a", perSecond: constant(100), queue: testQueue(), step: testStep(4, 1000), runTime: meanRunTime})
	s.afterRound = func(now time.Duration) { require.Empty(t, s.scheduler.accountPressure(now)) }
	s.run(3*time.Second, 0)
}
