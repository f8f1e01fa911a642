package claim

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
)

// init fixes the seed of the property tests to make runs repeatable; -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// entryModel is an entry in the simulation: a batcher, its call in progress, and the claims of its callers.
type entryModel struct {
	batcher   *Batcher
	call      Action
	response  func() []Result // delivers the outcome of a completed call
	waiting   []*Operation
	won       []Result
	abandoned []*Operation
}

// simulation runs several entries against one table; runs counts how often the endpoint ran each id.
type simulation struct {
	t           *rapid.T
	now         time.Time
	table       *standin.Table
	entries     []*entryModel
	lateCommits []acaciatally.Transaction // commits with an unknown outcome that may still take effect
	runs        map[string]int
	nonces      int
}

func newEntryModel() *entryModel {
	return &entryModel{batcher: NewBatcher(BatcherConfig{Interval: 20 * time.Millisecond, Backoff: 200 * time.Millisecond, MaxBatch: 3, MaxPending: 20})}
}

func (s *simulation) anyEntry() *entryModel { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

func (s *simulation) submit(*rapid.T) {
	e := s.anyEntry()
	s.nonces++
	row := Row{Nonce: fmt.Sprint(s.nonces), BodyHash: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(s.t, "body"), State: Claimed}
	operation := &Operation{ID: rapid.SampledFrom([]string{"x", "y", "z", row.Nonce, row.Nonce}).Draw(s.t, "id"), Row: row}
	if e.batcher.Submit(operation) {
		e.waiting = append(e.waiting, operation)
	}
}

func (s *simulation) abandon(*rapid.T) {
	e := s.anyEntry()
	if len(e.waiting) == 0 {
		return
	}
	e.batcher.Abandon(e.waiting[0])
	e.abandoned = append(e.abandoned, e.waiting[0])
	e.waiting = e.waiting[1:]
}

func (s *simulation) step(*rapid.T) {
	s.advance(s.anyEntry(), rapid.SampledFrom([]string{"ok", "ok", "slow", "lost", "late", "down"}).Draw(s.t, "fault"))
}

// advance performs the entry's next step: it starts a call, completes it, or delivers its response.
func (s *simulation) advance(e *entryModel, fault string) {
	s.now = s.now.Add(10 * time.Millisecond)
	switch {
	case e.response != nil:
		response := e.response
		e.response = nil
		s.receive(e, response())
	case e.call.Commit != nil:
		s.commit(e, *e.call.Commit, fault)
	case e.call.Read != nil:
		s.read(e, fault)
	default:
		e.call = e.batcher.Next(s.now)
	}
}

func (s *simulation) commit(e *entryModel, transaction acaciatally.Transaction, fault string) {
	e.call = Action{}
	switch fault {
	case "down":
		s.receive(e, e.batcher.CommitFailed(s.now))
		return
	case "late":
		s.lateCommits = append(s.lateCommits, transaction)
		e.batcher.CommitUnknown()
		return
	}
	version, err := s.table.Commit(context.Background(), transaction)
	if fault == "lost" {
		e.batcher.CommitUnknown()
		return
	}
	e.response = func() []Result {
		if conflict, isConflict := err.(*acaciatally.ConflictError); isConflict { //nolint:errorlint // the stand-in returns it unwrapped
			e.batcher.CommitConflicted(conflict.Keys)
			return nil
		}
		return e.batcher.CommitSucceeded(version)
	}
	if fault == "ok" {
		s.advance(e, fault)
	}
}

func (s *simulation) read(e *entryModel, fault string) {
	keys := e.call.Read
	e.call = Action{}
	if fault == "down" || fault == "lost" {
		s.receive(e, e.batcher.ReadFailed(s.now))
		return
	}
	rows, err := s.table.Read(context.Background(), keys...)
	require.NoError(s.t, err)
	e.response = func() []Result { return e.batcher.ReadSucceeded(rows) }
}

func (s *simulation) receive(e *entryModel, results []Result) {
	for _, result := range results {
		i := slices.Index(e.waiting, result.Operation)
		require.GreaterOrEqual(s.t, i, 0, "result delivered twice, or for an abandoned claim")
		e.waiting = slices.Delete(e.waiting, i, i+1)
		if result.Status == Won {
			e.won = append(e.won, result)
		}
		if result.Status == Exists && result.Row.State == Done {
			require.Equal(s.t, 1, s.runs[result.Operation.ID], "recorded answer although the request did not run")
		}
	}
}

// send sends a claimed request at any time after the claim.
func (s *simulation) send(*rapid.T) {
	e := s.anyEntry()
	if len(e.won) == 0 {
		return
	}
	won := e.won[0]
	e.won = e.won[1:]
	row := won.Row
	switch rapid.SampledFrom([]string{"done", "refused", "unknown"}).Draw(s.t, "attempt") {
	case "done":
		s.runs[won.Operation.ID]++
		row.State, row.Answer = Done, &RecordedAnswer{Status: 200, Kept: true}
	case "refused":
		row.State = NotRun
	default:
		s.runs[won.Operation.ID]++
		return
	}
	e.batcher.Submit(&Operation{ID: won.Operation.ID, Row: row, Version: won.Version})
}

func (s *simulation) applyLateCommit(*rapid.T) {
	if len(s.lateCommits) > 0 {
		_, _ = s.table.Commit(context.Background(), s.lateCommits[0])
		s.lateCommits = s.lateCommits[1:]
	}
}

// restartEntry replaces an entry. Its commit in progress may still take effect, and its claims stay.
func (s *simulation) restartEntry(*rapid.T) {
	i := rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")
	if commit := s.entries[i].call.Commit; commit != nil {
		s.lateCommits = append(s.lateCommits, *commit)
	}
	s.entries[i] = newEntryModel()
}

func (s *simulation) check(*rapid.T) {
	for id, runs := range s.runs {
		require.LessOrEqual(s.t, runs, 1, "request %s ran more than once", id)
	}
}

// finish runs all entries without faults and checks that every caller gets its result and no abandoned claim is held.
func (s *simulation) finish() {
	for range 2 {
		for _, e := range s.entries {
			for range 400 {
				s.advance(e, "ok")
			}
			require.True(s.t, e.batcher.Idle(), "operations are still pending")
			require.Empty(s.t, e.waiting, "a caller got no result")
		}
		for len(s.lateCommits) > 0 {
			s.applyLateCommit(nil)
		}
	}
	for _, e := range s.entries {
		s.requireReleased(e.abandoned)
	}
}

func (s *simulation) requireReleased(abandoned []*Operation) {
	for _, operation := range abandoned {
		rows, _ := s.table.Read(context.Background(), Key(operation.ID))
		for _, found := range rows {
			row, err := Decode(found.Value)
			require.NoError(s.t, err)
			require.False(s.t, row.Nonce == operation.Row.Nonce && row.State == Claimed, "abandoned claim is still held")
		}
	}
}

// TestClaimedRequestRunsAtMostOnce guards against requests that run more than once and abandoned claims that are never released. It
// applies lost, late and failed commits, restarts of entries, and retries through several entries in random order.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(0, 0), table: standin.NewTable(), runs: map[string]int{}}
		for range 3 {
			s.entries = append(s.entries, newEntryModel())
		}
		actions := []func(*rapid.T){s.submit, s.submit, s.send, s.send, s.abandon, s.applyLateCommit}
		for range 12 {
			actions = append(actions, s.step)
		}
		for range 200 { // rapid's Repeat runs 30 steps, too few for two claims of one id to conflict
			if rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
				s.restartEntry(t)
			}
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			s.check(t)
		}
		s.finish()
		s.check(t)
	})
}

// TestBatchBounds guards the platform against too many commits: one per interval, with at most MaxBatch operations and one operation
// per row.
func TestBatchBounds(t *testing.T) {
	batcher := NewBatcher(BatcherConfig{Interval: 30 * time.Millisecond, MaxBatch: 2, MaxPending: 4})
	for _, id := range []string{"x", "x", "y", "z"} {
		require.True(t, batcher.Submit(&Operation{ID: id, Row: Row{Nonce: "n", State: Claimed}}))
	}
	require.False(t, batcher.Submit(&Operation{ID: "w", Row: Row{State: Claimed}}), "claim accepted beyond MaxPending")
	start := time.Unix(0, 0)
	first := batcher.Next(start)
	require.Equal(t, "Claim/x", first.Commit.Writes[0].Key)
	require.Equal(t, "Claim/y", first.Commit.Writes[1].Key)
	require.Equal(t, Action{}, batcher.Next(start.Add(time.Second)), "second commit while the first is in progress")
	require.Len(t, batcher.CommitSucceeded(1), 2)
	require.Equal(t, start.Add(30*time.Millisecond), batcher.Next(start.Add(time.Millisecond)).Wait)
	require.Len(t, batcher.Next(start.Add(30*time.Millisecond)).Commit.Writes, 2)
	require.Equal(t, 30*time.Millisecond, CommitInterval(20*time.Millisecond, 9), "nine entries share 300 commits per second")
}
