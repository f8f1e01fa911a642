package ingress

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection's current request has reached.
type phase uint8

const (
	opened     phase = iota // no byte has arrived on the new connection
	idle                    // no byte has arrived since the last request
	header                  // the header is not finished
	body                    // the body is not finished
	processing              // the whole request has arrived and is being answered
	refused                 // the request was refused, and the connection is about to be closed
)

// minConnectionAge is how long a connection's phase lasts before it is closed because connections are short, so that a request that arrives at
// once is read.
const minConnectionAge = 100 * time.Millisecond

// account is one connection and what its current request holds.
type account struct {
	index      int // in ledger.accounts
	phase      phase
	bytes      int64     // reserved by the current request
	startedAt  time.Time // beginning of the phase
	lastByteAt time.Time // of the current request
	received   int64     // bytes of the header or the body, whichever is not finished
	evicted    bool      // it holds no bytes any more, gets none, and its connection is being closed
	// writingSince is when the client last took a part of the response that is being written; zero while nothing is.
	writingSince time.Time
	conn         *conn // nil in tests of the ledger
}

// ledger accounts for the bytes and connections of requests on their way in, and decides which of them to close when either runs short.
// It takes the time as an argument, does no I/O, and is not safe for concurrent use.
type ledger struct {
	limits     Limits
	processors float64 // cores that the process may use
	bytes      int64   // reserved by all accounts
	bodies     int     // accounts whose body is not finished
	accounts   []*account
}

// admit adds an account for a new connection. If there are too many connections, it returns the account to be closed instead, or nil for the
// account if there is none at the moment.
func (l *ledger) admit(now time.Time) (a, victim *account) {
	if l.full() {
		// Evicted connections are closed within moments; until then they count, and a few more than the limit may be open.
		if victim = l.longestUseless(now); victim == nil || len(l.accounts) >= l.limits.maxOpen() {
			return nil, nil
		}
		l.evict(victim)
	}
	a = &account{index: len(l.accounts), startedAt: now, lastByteAt: now}
	l.accounts = append(l.accounts, a)
	return a, victim
}

// full reports whether there is no room for another connection.
func (l *ledger) full() bool { return len(l.accounts) >= l.limits.Connections }

// longestUseless returns the account to be closed first when connections are short: one whose request was refused, else the longest idle one,
// else the one that has held the most bytes for longest, of those without a finished request and those whose response is not read.
func (l *ledger) longestUseless(now time.Time) (victim *account) {
	var order uint8
	var weight float64
	for _, a := range l.accounts {
		if (a.phase == processing && !l.unread(a, now)) || (a.evicted && a.phase != refused) {
			continue
		}
		age := now.Sub(a.startedAt)
		if age < minConnectionAge {
			continue
		}
		aOrder, aWeight := closingOrder[a.phase], a.weight(age)
		if victim == nil || aOrder < order || (aOrder == order && aWeight > weight) {
			victim, order, weight = a, aOrder, aWeight
		}
	}
	return victim
}

// closingOrder is the order in which connections are closed to make room, by phase. While a request is being processed, only a connection
// whose response is not read is closed.
var closingOrder = [...]uint8{refused: 0, idle: 1, opened: 2, header: 2, body: 2, processing: 2}

// unread reports whether the client has taken nothing of its response for longer than allowed under pressure.
func (l *ledger) unread(a *account, now time.Time) bool {
	return a.phase == processing && !a.evicted && !a.writingSince.IsZero() && now.Sub(a.writingSince) >= l.limits.PressureStall
}

// weight is the product of the bytes that a connection and its unfinished request hold and how long they have held them.
func (a *account) weight(age time.Duration) float64 {
	return float64(a.bytes+connectionBytes) * float64(age)
}

// reserve reserves bytes for the account's request. If too few are left, it evicts requests that are slower than the limits allow under
// pressure, and returns their accounts; if that does not suffice, it evicts none and reports false.
func (l *ledger) reserve(a *account, bytes int64, now time.Time) (victims []*account, ok bool) {
	if a.evicted || bytes <= 0 {
		return nil, !a.evicted
	}
	limit := l.limits.Bytes
	if a.bytes+bytes > l.limits.SmallRequest {
		limit -= l.limits.reserved()
	}
	if missing := l.bytes + bytes - limit; missing > 0 {
		if victims = l.slowest(a, missing, now); victims == nil {
			return nil, false
		}
		for _, victim := range victims {
			l.evict(victim)
		}
	}
	l.bytes += bytes
	a.bytes += bytes
	return victims, true
}

// slowest returns the fewest accounts that hold the missing bytes and are too slow under pressure, other than a. It returns nil if they do not
// hold that much.
func (l *ledger) slowest(a *account, missing int64, now time.Time) (victims []*account) {
	var candidates []*account
	for _, other := range l.accounts {
		if other != a && other.bytes > 0 && l.tooSlow(other, now) {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(x, y *account) int {
		return cmp.Compare(y.weight(now.Sub(y.startedAt)), x.weight(now.Sub(x.startedAt)))
	})
	for i, candidate := range candidates {
		if missing -= candidate.bytes; missing <= 0 {
			return candidates[:i+1]
		}
	}
	return nil
}

// tooSlow reports whether an unfinished request, or the client in taking its response, is slower than allowed under pressure.
func (l *ledger) tooSlow(a *account, now time.Time) bool {
	if l.unread(a, now) {
		return true
	}
	if a.evicted || (a.phase != header && a.phase != body) {
		return false
	}
	allowed := l.limits.PressureStall + time.Duration(float64(a.received)/float64(l.limits.PressureRate)*float64(time.Second))
	return now.Sub(a.lastByteAt) >= l.limits.PressureStall || now.Sub(a.startedAt) >= allowed
}

func (l *ledger) evict(a *account) {
	l.release(a)
	a.evicted = true
}

// release returns all bytes that the account's request holds.
func (l *ledger) release(a *account) {
	l.bytes -= a.bytes
	a.bytes = 0
}

// enter sets the phase of the account's connection.
func (l *ledger) enter(a *account, p phase, now time.Time) {
	if a.phase == body {
		l.bodies--
	}
	if p == body {
		l.bodies++
	}
	a.phase, a.startedAt, a.lastByteAt, a.received = p, now, now, 0
}

// receive counts bytes of an unfinished header or body.
func (l *ledger) receive(a *account, bytes int64, now time.Time) {
	a.received += bytes
	a.lastByteAt = now
}

// remove removes the account of a closed connection and returns its bytes. A second call has no effect.
func (l *ledger) remove(a *account) {
	if a.index < 0 {
		return
	}
	l.release(a)
	if a.phase == body {
		l.bodies--
	}
	a.phase = refused
	last := len(l.accounts) - 1
	l.accounts[a.index] = l.accounts[last]
	l.accounts[a.index].index = a.index
	l.accounts[last] = nil
	l.accounts = l.accounts[:last]
	a.index, a.evicted = -1, true
}

const (
	// framingStep is the amount of chunk framing for which a body pauses once.
	framingStep = 4 << 10
	// framingTime is the processor time that it takes to read such an amount, on one core.
	framingTime = 100 * time.Microsecond
	// framingShare is the share of the processors that all bodies together may use for reading it.
	framingShare = 0.5
	maxPause     = time.Second
)

// framingPause returns how long a body pauses for each framingStep, so that all unfinished bodies together use no more than framingShare of the
// processors for their framing.
func (l *ledger) framingPause() time.Duration {
	return min(maxPause, time.Duration(float64(l.bodies)*float64(framingTime)/(framingShare*l.processors)))
}
