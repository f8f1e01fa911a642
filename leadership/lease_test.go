package leadership_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally/leadership"
	"github.com/acaciatally/acaciatally/overload"
)

const (
	term      = 2500 * time.Millisecond
	shortTerm = 1400 * time.Millisecond
	renew     = 600 * time.Millisecond
)

func newLease(self string) *leadership.Lease {
	return leadership.New(leadership.Config{Self: self, Term: term, ShortTerm: shortTerm, RenewEvery: renew})
}

// TestTakeoverAfterTerm guards against two leaders: a lease is acquired only after its version was unchanged for a whole term.
func TestTakeoverAfterTerm(t *testing.T) {
	lease := newLease("b")
	step, _ := lease.Next(0)
	require.Equal(t, leadership.Wait, step, "the lease was not read yet")
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 10, 0)
	step, delay := lease.Next(term - 1)
	require.Equal(t, leadership.Wait, step)
	require.Equal(t, time.Duration(1), delay)
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 11, term-1)
	step, _ = lease.Next(term)
	require.Equal(t, leadership.Wait, step, "the lease was renewed")
	step, _ = lease.Next(2*term - 1)
	require.Equal(t, leadership.Acquire, step)
	row, version := lease.Proposal(2*term - 1)
	require.Equal(t, leadership.Row{Holder: "b", Epoch: 4, Term: term}, row)
	require.EqualValues(t, 11, version)
}

// TestReleasedLease guards against a term without a leader after a graceful stop or before the first leader.
func TestReleasedLease(t *testing.T) {
	for name, row := range map[string]leadership.Row{"never held": {}, "released": {Epoch: 7}} {
		t.Run(name, func(t *testing.T) {
			lease := newLease("b")
			lease.Observe(row, 1, 0)
			step, _ := lease.Next(0)
			require.Equal(t, leadership.Acquire, step)
		})
	}
}

// TestLeaseExpires guards against a leader that acts after others may have taken over: the term counts from when it sent the renewal.
func TestLeaseExpires(t *testing.T) {
	lease := newLease("a")
	lease.Observe(leadership.Row{}, 0, 0)
	row, _ := lease.Proposal(0)
	lease.Committed(row, 1, 100, 900)
	require.True(t, lease.Leads(100+term-1))
	require.False(t, lease.Leads(100+term))
	lease.Observe(leadership.Row{Holder: "b", Epoch: 2}, 2, 1000)
	require.False(t, lease.Leads(1001))
}

// TestNewEpoch guards against two terms of leadership with the same epoch: fencing tokens of the second would start below those of the
// first, and workers would reject all of its orders.
func TestNewEpoch(t *testing.T) {
	lease := newLease("a")
	lease.Observe(leadership.Row{}, 0, 0)
	first, _ := lease.Proposal(0)
	lease.Committed(first, 1, 0, 0)
	renewal, _ := lease.Proposal(renew)
	require.Equal(t, first, renewal)
	again, _ := lease.Proposal(term)
	require.Equal(t, first.Epoch+1, again.Epoch)
}

// TestSingleLeader guards against two simultaneous leaders under random delays, lost responses and clock offsets.
func TestSingleLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, version := leadership.Row{}, uint64(0)
		leases := []*leadership.Lease{newLease("a"), newLease("b"), newLease("c")}
		offsets := []time.Duration{0, time.Hour, 3 * time.Second}
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "entry")
			lease, local := leases[i], now+offsets[i]
			if rapid.Bool().Draw(t, "reads") {
				lease.Observe(store, version, local)
			}
			step, _ := lease.Next(local)
			if step != leadership.Wait {
				row, on := lease.Proposal(local)
				if on == version {
					store, version = row, version+1
					if rapid.Bool().Draw(t, "answered") {
						lease.Committed(row, version, local, local)
					}
				}
			}
			leaders := 0
			for j, other := range leases {
				if other.Leads(now + offsets[j]) {
					leaders++
				}
			}
			if leaders > 1 {
				t.Fatalf("%d leaders", leaders)
			}
		}
	})
}

// TestHandoverRequest guards against a slow entry that stays the leader because it was the first to acquire the lease after an outage.
func TestHandoverRequest(t *testing.T) {
	const lag = 600 * time.Millisecond
	tests := map[string]struct {
		ownDelay  time.Duration
		requested bool
	}{
		"shorter delay": {0, true}, "slightly shorter delay": {lag - 100*time.Millisecond, false}, "longer delay": {lag + time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lease := leadership.New(leadership.Config{Self: "b", Term: term, RenewEvery: renew, TakeoverDelay: test.ownDelay})
			requests := 0
			for now := time.Duration(0); now < 5*time.Second; now += renew {
				lease.Observe(leadership.Row{Holder: "a", Epoch: 3, Lag: lag}, uint64(now/renew)+1, now)
				if step, _ := lease.Next(now); step == leadership.RequestHandover {
					requests++
					lease.HandoverRequested()
				}
			}
			require.Equal(t, test.requested, requests == 1, "%d requests", requests)
		})
	}
}

// TestShortTerm guards against a takeover that takes longer than necessary, and against a leader that acts after others may have taken over
// because it got no response to a renewal with a shorter term.
func TestShortTerm(t *testing.T) {
	lease := newLease("a")
	lease.Observe(leadership.Row{}, 0, 0)
	now, version := time.Duration(0), uint64(0)
	propose := func() leadership.Row {
		row, _ := lease.Proposal(now)
		return row
	}
	commit := func(row leadership.Row, took time.Duration) {
		version++
		lease.Committed(row, version, now, now+took)
	}
	commit(propose(), 0)
	for now = renew; now <= 5*time.Second; now += renew {
		row := propose()
		require.Equal(t, term, row.Term, "renewals were not fast for long enough")
		commit(row, 0)
	}
	row := propose()
	require.Equal(t, shortTerm, row.Term)
	require.False(t, lease.Leads(now+shortTerm), "the renewal may have been applied")
	lease.RenewalFailed(now, now+renew)
	require.True(t, lease.ConfirmRenewal(row, version+1, now+renew))
	require.True(t, lease.Leads(now+shortTerm-1))
	require.False(t, lease.Leads(now+shortTerm))
	now += renew
	require.Equal(t, term, propose().Term, "a renewal got no response")

	other := newLease("b")
	other.Observe(row, 9, 0)
	step, _ := other.Next(shortTerm)
	require.Equal(t, leadership.Acquire, step)
}

// TestSuccessor guards against a third entry that acquires a lease released for another one, and against an endless wait for a successor
// that has failed.
func TestSuccessor(t *testing.T) {
	released := leadership.Row{Epoch: 3, Successor: "b"}
	tests := map[string]struct {
		self string
		at   time.Duration
	}{"successor": {"b", 0}, "third": {"c", time.Second}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lease := newLease(test.self)
			lease.Observe(released, 9, 0)
			if test.at > 0 {
				step, _ := lease.Next(test.at - 1)
				require.Equal(t, leadership.Wait, step)
			}
			step, _ := lease.Next(test.at)
			require.Equal(t, leadership.Acquire, step)
		})
	}
}

// TestDelayAfterOutage guards against a slow entry that leads because it was the first to notice the end of an outage of the store: the
// takeover delay counts from the end of the outage.
func TestDelayAfterOutage(t *testing.T) {
	const lag = 600 * time.Millisecond
	lease := leadership.New(leadership.Config{Self: "b", Term: term, RenewEvery: renew, TakeoverDelay: lag})
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 10, 0)
	lease.SetStoreReachable(false, time.Second)
	step, _ := lease.Next(9 * time.Second)
	require.Equal(t, leadership.Wait, step, "the store is unreachable")
	restoredAt := 10 * time.Second
	lease.SetStoreReachable(true, restoredAt)
	step, _ = lease.Next(restoredAt + lag - 1)
	require.Equal(t, leadership.Wait, step)
	step, _ = lease.Next(restoredAt + lag)
	require.Equal(t, leadership.Acquire, step)
}

// TestResignDuringRenewal guards against a leader that goes on after it has resigned, because a renewal was in flight at that moment: what it
// had stopped, such as the commits to one partition, stayed stopped until the next leader.
func TestResignDuringRenewal(t *testing.T) {
	tests := map[string]struct{ noticedEpoch uint64 }{"other leader's epoch known": {5}, "not known": {0}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lease := newLease("a")
			lease.Observe(leadership.Row{}, 0, 0)
			acquired, _ := lease.Proposal(0)
			lease.Committed(acquired, 1, 0, 0)
			require.True(t, lease.Leads(0))
			renewal, _ := lease.Proposal(time.Second)
			lease.Resign(test.noticedEpoch)
			lease.Committed(renewal, 2, time.Second, time.Second)
			require.False(t, lease.Leads(time.Second))
			next, _ := lease.Proposal(2 * time.Second)
			require.Greater(t, next.Epoch, max(acquired.Epoch, test.noticedEpoch))
			lease.Committed(next, 3, 2*time.Second, 2*time.Second)
			require.True(t, lease.Leads(2*time.Second), "a new term of leadership")
		})
	}
}

// TestDamagedLease guards against two leaders and against epochs that start again at 1, which workers and records of higher epochs reject,
// after the lease was damaged or has disappeared.
func TestDamagedLease(t *testing.T) {
	tests := map[string]func(lease *leadership.Lease){
		"can't be decoded": func(lease *leadership.Lease) { lease.ObserveUndecodable(11, time.Second) },
		"shows an epoch of long ago": func(lease *leadership.Lease) {
			lease.Observe(leadership.Row{Holder: "a", Epoch: 1}, 11, time.Second)
			lease.Resign(7)
		},
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			lease := newLease("b")
			lease.Observe(leadership.Row{Holder: "a", Epoch: 7}, 10, 0)
			damage(lease)
			step, _ := lease.Next(time.Second + term - 1)
			require.Equal(t, leadership.Wait, step, "the holder may still act")
			step, _ = lease.Next(time.Second + term)
			require.Equal(t, leadership.Acquire, step)
			row, _ := lease.Proposal(time.Second + term)
			require.EqualValues(t, 8, row.Epoch)
		})
	}
}

// TestStartDelayOutlivesLeader guards against a takeover after which entries accept jobs as if there were no backlog.
func TestStartDelayOutlivesLeader(t *testing.T) {
	row := leadership.Row{Holder: "a", Epoch: 4, Term: term, StartDelay: 20 * time.Second}
	tests := map[string]func(holder *leadership.Lease) leadership.Row{
		"after the term": func(*leadership.Lease) leadership.Row { return row },
		"released": func(holder *leadership.Lease) leadership.Row {
			released, _ := holder.ReleaseProposal("")
			return released
		},
	}
	for name, last := range tests {
		t.Run(name, func(t *testing.T) {
			holder, next := newLease("a"), newLease("b")
			holder.Observe(row, 7, 0)
			next.Observe(last(holder), 8, 0)
			proposed, _ := next.Proposal(2 * term)
			require.Equal(t, "b", proposed.Holder)
			require.Equal(t, 20*time.Second, proposed.StartDelay)
			next.Committed(proposed, 9, 2*term, 2*term)
			require.Equal(t, 20*time.Second, next.StartDelay(2*term))
		})
	}
}

// TestOverloadOutlivesLeader guards against a takeover in a surge after which entries admit all jobs, and against refusals by what a leader
// published that is gone for long.
func TestOverloadOutlivesLeader(t *testing.T) {
	state := &overload.State{Turn: 3, Accounts: []overload.AccountState{{Account: "hot", PerMille: 200}}}
	row := leadership.Row{Holder: "a", Epoch: 4, Term: term, Overload: state}
	holder, next := newLease("a"), newLease("b")
	holder.Observe(row, 7, 0)
	released, _ := holder.ReleaseProposal("")
	require.Equal(t, state, released.Overload)
	next.Observe(released, 8, 0)
	require.Equal(t, state, next.Overload(4*time.Second))
	require.Nil(t, next.Overload(5*time.Second))
	proposed, _ := next.Proposal(5 * time.Second)
	require.Equal(t, state, proposed.Overload, "the surge may go on")
	proposed, _ = next.Proposal(10 * time.Second)
	require.Nil(t, proposed.Overload, "the surge has ended")
}

// TestRowWithoutOverload guards against a lease that is longer than before in deployments without accounts.
func TestRowWithoutOverload(t *testing.T) {
	encoded, err := json.Marshal(leadership.Row{Holder: "a", Epoch: 4, Term: time.Second, Lag: 1, StartDelay: 2})
	require.NoError(t, err)
	require.Equal(t, `{"Holder":"a","Epoch":4,"Term":1000000000,"Lag":1,"StartDelay":2}`, string(encoded))
}
