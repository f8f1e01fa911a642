package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// boards is a group of slot homes of one pool and the tickets of its callers.
type boards struct {
	t       *rapid.T
	now     time.Time
	all     []*board
	workers int
	open    []*caller
	loans   int
}

// caller is a request with its ticket at one board.
type caller struct {
	board  *board
	ticket *ticket
}

func newBoards(t *rapid.T) *boards {
	b := &boards{t: t, now: time.Unix(1000, 0), workers: 3}
	for range 2 {
		b.all = append(b.all, newBoard(queue.Config{}, route.Config{}, 0.05))
	}
	b.setWorkers(3)
	return b
}

func (b *boards) setWorkers(count int) {
	b.workers = count
	var workers []route.Worker
	for i := range count {
		workers = append(workers, route.Worker{ID: acaciatally.InstanceID(fmt.Sprintf("worker-%d", i)), Slots: 2})
	}
	for _, one := range b.all {
		one.setWorkers(workers)
	}
}

func (b *boards) ask() {
	b.loans++
	t := newTicket(queue.Item{Team: "t", Urgency: acaciatally.Normal, Deadline: b.now.Add(time.Minute)})
	t.loan = fmt.Sprint(b.loans)
	one := b.all[rapid.IntRange(0, 1).Draw(b.t, "board")]
	if one.ask(b.now, t) == nil {
		b.open = append(b.open, &caller{board: one, ticket: t})
	}
}

// draw takes a caller out of the open ones.
func (b *boards) draw() *caller {
	if len(b.open) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(b.open)-1).Draw(b.t, "caller")
	drawn := b.open[i]
	b.open = append(b.open[:i], b.open[i+1:]...)
	return drawn
}

func (b *boards) release() {
	if c := b.draw(); c != nil {
		c.board.release(b.now, c.ticket, acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
		c.board.release(b.now, c.ticket, acaciatally.AttemptResult{}) // a second release must do nothing
	}
}

func (b *boards) breakStream() {
	if c := b.draw(); c != nil {
		c.board.unheard(b.now, c.ticket)
	}
}

// move reports a held slot at the other board, or asks there again when it waits.
func (b *boards) move() {
	c := b.draw()
	if c == nil {
		return
	}
	other := b.all[0]
	if other == c.board {
		other = b.all[1]
	}
	fresh := newTicket(c.ticket.item)
	fresh.loan = c.ticket.loan
	wasHeld, worker := c.ticket.phase == held, c.ticket.worker
	c.board.unheard(b.now, c.ticket)
	if wasHeld {
		other.hold(b.now, fresh, worker)
	} else if other.ask(b.now, fresh) != nil {
		return
	}
	b.open = append(b.open, &caller{board: other, ticket: fresh})
}

func (b *boards) pass(span time.Duration) {
	b.now = b.now.Add(span)
	for _, one := range b.all {
		one.expire(b.now)
		one.grant(b.now)
	}
}

func (b *boards) check() {
	for _, one := range b.all {
		heldCount, busy := 0, 0
		for _, t := range one.tickets {
			if t.phase == held {
				heldCount++
			}
		}
		for _, count := range one.busy {
			busy += count
		}
		stats := one.queue.Stats()
		require.Equal(b.t, heldCount, busy, "slots by worker and by ticket")
		require.Equal(b.t, heldCount, stats.Held[acaciatally.Normal], "slots by ticket and in the queue")
		require.Equal(b.t, len(one.tickets)-heldCount, stats.Queued[acaciatally.Normal])
		require.LessOrEqual(b.t, len(one.loans), heldCount)
		require.Equal(b.t, len(one.tickets)-heldCount, one.waits)
	}
}

// TestAccounting guards against slots that leak, are counted twice for ever or are never granted, whatever the order of requests,
// releases, cancellations, broken streams, changes of the slot home and removals of workers.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoards(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":     func(*rapid.T) { b.ask() },
			"release": func(*rapid.T) { b.release() },
			"break":   func(*rapid.T) { b.breakStream() },
			"move":    func(*rapid.T) { b.move() },
			"workers": func(t *rapid.T) { b.setWorkers(rapid.IntRange(0, 3).Draw(t, "workers")) },
			"time":    func(*rapid.T) { b.pass(50 * time.Millisecond) },
			"":        func(*rapid.T) { b.check() },
		})
		b.setWorkers(3)
		b.pass(4 * time.Second) // broken streams are given up
		for rounds := 0; len(b.open) > 0; rounds++ {
			require.Less(t, rounds, 200, "somebody waits for ever")
			b.finish()
			b.pass(time.Second)
		}
		b.check()
		for _, one := range b.all {
			require.Empty(t, one.tickets)
			require.Empty(t, one.busy)
			require.Empty(t, one.loans)
		}
	})
}

// TestReportedAgain guards against a slot that is counted twice when its holder reports it after a broken stream, before or after
// the slot home has noticed the break.
func TestReportedAgain(t *testing.T) {
	for name, noticed := range map[string]bool{"break noticed": true, "break not noticed": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := newBoard(queue.Config{}, route.Config{}, 0.05)
			b.setWorkers([]route.Worker{{ID: "worker-0", Slots: 2}})
			first := newTicket(queue.Item{Team: "t", Deadline: now.Add(time.Minute)})
			first.loan = "1"
			require.Nil(t, b.ask(now, first))
			require.Len(t, b.grant(now), 1)
			if noticed {
				b.unheard(now, first)
			}
			second := newTicket(first.item)
			second.loan = "1"
			b.hold(now, second, first.worker)
			b.unheard(now, first)
			require.Equal(t, 1, b.busy["worker-0"])
			b.release(now, second, acaciatally.AttemptResult{Status: 200})
			require.Empty(t, b.busy)
		})
	}
}

// TestSlotsOfLeavingWorker guards against an idle worker that gets no work while slots are held on a worker that leaves.
func TestSlotsOfLeavingWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard(queue.Config{}, route.Config{}, 0.05)
	b.setWorkers([]route.Worker{{ID: "worker-0", Slots: 2}})
	ask := func() {
		require.Nil(t, b.ask(now, newTicket(queue.Item{Team: "t", Deadline: now.Add(time.Minute)})))
	}
	ask()
	ask()
	require.Len(t, b.grant(now), 2)
	b.setWorkers([]route.Worker{{ID: "worker-1", Slots: 2}})
	ask()
	ask()
	require.Len(t, b.grant(now), 2)
	require.Equal(t, 2, b.busy["worker-1"])
}

// finish releases the tickets that hold a slot and keeps the ones that wait.
func (b *boards) finish() {
	var rest []*caller
	for _, c := range b.open {
		switch c.ticket.phase {
		case held:
			c.board.release(b.now, c.ticket, acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
		case waiting:
			rest = append(rest, c)
		default: // refused or expired
		}
	}
	b.open = rest
}
