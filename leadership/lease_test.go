package leadership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally/leadership"
)

const (
	term  = 2500 * time.Millisecond
	quick = 1400 * time.Millisecond
	renew = 600 * time.Millisecond
)

func newLease(self string) *leadership.Lease {
	return leadership.New(leadership.Config{Self: self, Term: term, QuickTerm: quick, RenewEvery: renew})
}

// TestTakeOver guards against two leaders: a lease is taken over only after its version stood still for a whole term.
func TestTakeOver(t *testing.T) {
	lease := newLease("b")
	step, _ := lease.Next(0)
	require.Equal(t, leadership.Wait, step, "nothing is known yet")
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 10, 0)
	step, again := lease.Next(term - 1)
	require.Equal(t, leadership.Wait, step)
	require.Equal(t, time.Duration(1), again)
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 11, term-1)
	step, _ = lease.Next(term)
	require.Equal(t, leadership.Wait, step, "it was renewed")
	step, _ = lease.Next(2*term - 1)
	require.Equal(t, leadership.Take, step)
	row, version := lease.Proposal(2*term - 1)
	require.Equal(t, leadership.Row{Holder: "b", Epoch: 4, Term: term}, row)
	require.EqualValues(t, 11, version)
}

// TestReleased guards against a term of silence after a graceful stop or before the first leader.
func TestReleased(t *testing.T) {
	for name, row := range map[string]leadership.Row{"never held": {}, "given up": {Epoch: 7}} {
		t.Run(name, func(t *testing.T) {
			lease := newLease("b")
			lease.Observe(row, 1, 0)
			step, _ := lease.Next(0)
			require.Equal(t, leadership.Take, step)
		})
	}
}

// TestExpires guards against a leader that acts after others may have taken over; its right counts from when it sent the renewal.
func TestExpires(t *testing.T) {
	lease := newLease("a")
	lease.Observe(leadership.Row{}, 0, 0)
	row, _ := lease.Proposal(0)
	lease.Committed(row, 1, 100, 900)
	require.True(t, lease.Leads(100+term-1))
	require.False(t, lease.Leads(100+term))
	lease.Observe(leadership.Row{Holder: "b", Epoch: 2}, 2, 1000)
	require.False(t, lease.Leads(1001))
}

// TestNewEpoch guards against two tenures of one epoch: fencing tokens of the second would begin below those of the first, and workers
// would refuse all of its orders.
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

// TestSingleLeader guards against two entries that lead at once under drawn delays, losses and clocks that are apart.
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

// TestWeakHolder guards against a weak entry that leads for the rest of the day, because it was the first after an outage.
func TestWeakHolder(t *testing.T) {
	const lag = 600 * time.Millisecond
	tests := map[string]struct {
		own    time.Duration
		wanted bool
	}{
		"stronger": {0, true}, "little stronger": {lag - 100*time.Millisecond, false}, "weaker": {lag + time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lease := leadership.New(leadership.Config{Self: "b", Term: term, RenewEvery: renew, TakeOverLag: test.own})
			claims := 0
			for now := time.Duration(0); now < 5*time.Second; now += renew {
				lease.Observe(leadership.Row{Holder: "a", Epoch: 3, Lag: lag}, uint64(now/renew)+1, now)
				if step, _ := lease.Next(now); step == leadership.Demand {
					claims++
					lease.Claimed()
				}
			}
			require.Equal(t, test.wanted, claims == 1, "%d claims", claims)
		})
	}
}

// TestQuickTerm guards against a takeover that takes longer than it has to, and against a leader that acts after others may have taken over
// because a renewal with a shorter term had no answer.
func TestQuickTerm(t *testing.T) {
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
		require.Equal(t, term, row.Term, "it was not calm for long enough")
		commit(row, 0)
	}
	row := propose()
	require.Equal(t, quick, row.Term)
	require.False(t, lease.Leads(now+quick), "the renewal may have been applied")
	lease.Tried(now, now+renew)
	require.True(t, lease.Confirmed(row, version+1, now+renew))
	require.True(t, lease.Leads(now+quick-1))
	require.False(t, lease.Leads(now+quick))
	now += renew
	require.Equal(t, term, propose().Term, "a renewal had no answer")

	other := newLease("b")
	other.Observe(row, 9, 0)
	step, _ := other.Next(quick)
	require.Equal(t, leadership.Take, step)
}

// TestSuccessor guards against a third entry that takes a lease which was given up to another one, and against a wait for one that is
// gone.
func TestSuccessor(t *testing.T) {
	given := leadership.Row{Epoch: 3, Successor: "b"}
	tests := map[string]struct {
		self string
		at   time.Duration
	}{"successor": {"b", 0}, "third": {"c", time.Second}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lease := newLease(test.self)
			lease.Observe(given, 9, 0)
			if test.at > 0 {
				step, _ := lease.Next(test.at - 1)
				require.Equal(t, leadership.Wait, step)
			}
			step, _ := lease.Next(test.at)
			require.Equal(t, leadership.Take, step)
		})
	}
}

// TestLagAfterOutage guards against a weak entry that leads because it noticed first that the store is back: the lag counts from there.
func TestLagAfterOutage(t *testing.T) {
	const lag = 600 * time.Millisecond
	lease := leadership.New(leadership.Config{Self: "b", Term: term, RenewEvery: renew, TakeOverLag: lag})
	lease.Observe(leadership.Row{Holder: "a", Epoch: 3}, 10, 0)
	lease.Contact(false, time.Second)
	step, _ := lease.Next(9 * time.Second)
	require.Equal(t, leadership.Wait, step, "nothing can be taken")
	back := 10 * time.Second
	lease.Contact(true, back)
	step, _ = lease.Next(back + lag - 1)
	require.Equal(t, leadership.Wait, step)
	step, _ = lease.Next(back + lag)
	require.Equal(t, leadership.Take, step)
}
