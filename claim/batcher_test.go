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

func init() { // repeatable runs; the command line still takes precedence
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// holder is an entry of the model: a batcher, its call in progress and the claims of its callers.
type holder struct {
	batcher   *Batcher
	call      Action
	answer    func() []Result // an answer on its way
	waiting   []*Operation
	won       []Result
	abandoned []*Operation
}

// world is several entries over one table; runs counts what the endpoint ran for each id.
type world struct {
	t       *rapid.T
	now     time.Time
	table   *standin.Table
	holders []*holder
	late    []acaciatally.Transaction // commits with a lost answer that may still take effect
	runs    map[string]int
	nonces  int
}

func newHolder() *holder {
	return &holder{batcher: NewBatcher(BatcherConfig{Interval: 20 * time.Millisecond, Backoff: 200 * time.Millisecond, MaxBatch: 3, MaxPending: 20})}
}

func (w *world) holder() *holder { return rapid.SampledFrom(w.holders).Draw(w.t, "entry") }

func (w *world) submit(*rapid.T) {
	h := w.holder()
	w.nonces++
	row := Row{Nonce: fmt.Sprint(w.nonces), BodyHash: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(w.t, "body"), State: Claimed}
	operation := &Operation{ID: rapid.SampledFrom([]string{"x", "y", "z", row.Nonce, row.Nonce}).Draw(w.t, "id"), Row: row}
	if h.batcher.Submit(operation) {
		h.waiting = append(h.waiting, operation)
	}
}

func (w *world) abandon(*rapid.T) {
	h := w.holder()
	if len(h.waiting) == 0 {
		return
	}
	h.batcher.Abandon(h.waiting[0])
	h.abandoned = append(h.abandoned, h.waiting[0])
	h.waiting = h.waiting[1:]
}

func (w *world) step(*rapid.T) {
	w.advance(w.holder(), rapid.SampledFrom([]string{"ok", "ok", "slow", "lost", "late", "down"}).Draw(w.t, "fate"))
}

// advance takes an entry's next step: a call begins, ends, or its answer comes.
func (w *world) advance(h *holder, fate string) {
	w.now = w.now.Add(10 * time.Millisecond)
	switch {
	case h.answer != nil:
		answer := h.answer
		h.answer = nil
		w.take(h, answer())
	case h.call.Commit != nil:
		w.commit(h, *h.call.Commit, fate)
	case h.call.Read != nil:
		w.read(h, fate)
	default:
		h.call = h.batcher.Next(w.now)
	}
}

func (w *world) commit(h *holder, transaction acaciatally.Transaction, fate string) {
	h.call = Action{}
	switch fate {
	case "down":
		w.take(h, h.batcher.Failed(w.now))
		return
	case "late":
		w.late = append(w.late, transaction)
		h.batcher.Lost()
		return
	}
	version, err := w.table.Commit(context.Background(), transaction)
	if fate == "lost" {
		h.batcher.Lost()
		return
	}
	h.answer = func() []Result {
		if conflict, lost := err.(*acaciatally.ConflictError); lost { //nolint:errorlint // the stand-in returns it unwrapped
			h.batcher.Conflicted(conflict.Keys)
			return nil
		}
		return h.batcher.Committed(version)
	}
	if fate == "ok" {
		w.advance(h, fate)
	}
}

func (w *world) read(h *holder, fate string) {
	keys := h.call.Read
	h.call = Action{}
	if fate == "down" || fate == "lost" {
		w.take(h, h.batcher.ReadFailed(w.now))
		return
	}
	rows, err := w.table.Read(context.Background(), keys...)
	require.NoError(w.t, err)
	h.answer = func() []Result { return h.batcher.ReadBack(rows) }
}

func (w *world) take(h *holder, results []Result) {
	for _, result := range results {
		i := slices.Index(h.waiting, result.Operation)
		require.GreaterOrEqual(w.t, i, 0, "a result came twice, or for an abandoned claim")
		h.waiting = slices.Delete(h.waiting, i, i+1)
		if result.Verdict == Won {
			h.won = append(h.won, result)
		}
		if result.Verdict == Exists && result.Row.State == Done {
			require.Equal(w.t, 1, w.runs[result.Operation.ID], "a recorded answer without a run")
		}
	}
}

// send is the attempt of a claimed request, however long after the claim.
func (w *world) send(*rapid.T) {
	h := w.holder()
	if len(h.won) == 0 {
		return
	}
	won := h.won[0]
	h.won = h.won[1:]
	row := won.Row
	switch rapid.SampledFrom([]string{"done", "refused", "unknown"}).Draw(w.t, "attempt") {
	case "done":
		w.runs[won.Operation.ID]++
		row.State, row.Answer = Done, &Recorded{Status: 200, Kept: true}
	case "refused":
		row.State = NotRun
	default:
		w.runs[won.Operation.ID]++
		return
	}
	h.batcher.Submit(&Operation{ID: won.Operation.ID, Row: row, Version: won.Version})
}

func (w *world) land(*rapid.T) {
	if len(w.late) > 0 {
		_, _ = w.table.Commit(context.Background(), w.late[0])
		w.late = w.late[1:]
	}
}

// kill replaces an entry, whose commit in progress may still take effect and whose claims stay.
func (w *world) kill(*rapid.T) {
	i := rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "entry")
	if commit := w.holders[i].call.Commit; commit != nil {
		w.late = append(w.late, *commit)
	}
	w.holders[i] = newHolder()
}

func (w *world) check(*rapid.T) {
	for id, runs := range w.runs {
		require.LessOrEqual(w.t, runs, 1, "request %s ran twice", id)
	}
}

// settle ends all faults; then every caller gets its result and no abandoned claim is held.
func (w *world) settle() {
	for range 2 {
		for _, h := range w.holders {
			for range 400 {
				w.advance(h, "ok")
			}
			require.True(w.t, h.batcher.Idle(), "operations are left")
			require.Empty(w.t, h.waiting, "a caller got no result")
		}
		for len(w.late) > 0 {
			w.land(nil)
		}
	}
	for _, h := range w.holders {
		w.requireReleased(h.abandoned)
	}
}

func (w *world) requireReleased(abandoned []*Operation) {
	for _, operation := range abandoned {
		rows, _ := w.table.Read(context.Background(), Key(operation.ID))
		for _, found := range rows {
			row, err := Decode(found.Value)
			require.NoError(w.t, err)
			require.False(w.t, row.Nonce == operation.Row.Nonce && row.State == Claimed, "an abandoned claim is held")
		}
	}
}

// Guards P5 (a request runs at most once) and the release of abandoned claims against lost, late and failed commits, deaths and
// retries through several entries, in any order.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(0, 0), table: standin.NewTable(), runs: map[string]int{}}
		for range 3 {
			w.holders = append(w.holders, newHolder())
		}
		actions := []func(*rapid.T){w.submit, w.submit, w.send, w.send, w.abandon, w.land}
		for range 12 {
			actions = append(actions, w.step)
		}
		for range 200 { // rapid's own Repeat takes 30 steps, too few for two claims of one id to meet
			if rapid.IntRange(0, 99).Draw(t, "death") == 0 {
				w.kill(t)
			}
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			w.check(t)
		}
		w.settle()
		w.check(t)
	})
}

// Guards the platform's budget: no more commits than the interval allows, at most MaxBatch operations each, one per row.
func TestBatchBounds(t *testing.T) {
	batcher := NewBatcher(BatcherConfig{Interval: 30 * time.Millisecond, MaxBatch: 2, MaxPending: 4})
	for _, id := range []string{"x", "x", "y", "z"} {
		require.True(t, batcher.Submit(&Operation{ID: id, Row: Row{Nonce: "n", State: Claimed}}))
	}
	require.False(t, batcher.Submit(&Operation{ID: "w", Row: Row{State: Claimed}}), "a fifth claim waits")
	start := time.Unix(0, 0)
	first := batcher.Next(start)
	require.Equal(t, "Claim/x", first.Commit.Writes[0].Key)
	require.Equal(t, "Claim/y", first.Commit.Writes[1].Key)
	require.Equal(t, Action{}, batcher.Next(start.Add(time.Second)), "a second transaction in flight")
	require.Len(t, batcher.Committed(1), 2)
	require.Equal(t, start.Add(30*time.Millisecond), batcher.Next(start.Add(time.Millisecond)).Wait)
	require.Len(t, batcher.Next(start.Add(30*time.Millisecond)).Commit.Writes, 2)
	require.Equal(t, 30*time.Millisecond, Interval(20*time.Millisecond, 9), "nine entries share 300 commits a second")
}
