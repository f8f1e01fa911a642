package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of fault; inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(d *deployment, random *rand.Rand, duration time.Duration)
}

// faults are all kinds of faults; each seed draws its schedule from them.
var faults = []fault{
	{"kill an entry", func(d *deployment, random *rand.Rand, duration time.Duration) {
		d.kill(d.randomEntry(random), duration)
	}},
	{"kill all entries", func(d *deployment, _ *rand.Rand, duration time.Duration) {
		var all sync.WaitGroup
		for _, e := range d.entries {
			all.Go(func() { d.kill(e, duration/2) })
		}
		all.Wait()
	}},
	{"stop an entry", func(d *deployment, random *rand.Rand, duration time.Duration) {
		d.stop(d.randomEntry(random), duration)
	}},
	{"stop all entries in turn", func(d *deployment, _ *rand.Rand, duration time.Duration) {
		for _, e := range d.entries {
			d.stop(e, duration/4)
		}
	}},
	{"pause an entry", func(d *deployment, random *rand.Rand, duration time.Duration) {
		e := d.randomEntry(random)
		e.markDisturbed(time.Now().Add(duration))
		e.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		e.signal(syscall.SIGCONT)
	}},
	{"store rejects requests of an entry", func(d *deployment, random *rand.Rand, duration time.Duration) {
		e := d.randomEntry(random)
		e.markDisturbed(time.Now().Add(duration))
		e.faults.FailWithStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)])
		time.Sleep(duration)
		e.faults.FailWithStatus(0)
	}},
	{"store rejects all requests", func(d *deployment, _ *rand.Rand, duration time.Duration) {
		d.injectStoreFault(duration, func(e *entry, on bool) {
			e.faults.FailWithStatus(map[bool]int{true: http.StatusServiceUnavailable}[on])
		})
	}},
	{"store does not respond", func(d *deployment, _ *rand.Rand, duration time.Duration) {
		d.injectStoreFault(duration, func(e *entry, on bool) { e.faults.Hang(on) })
	}},
	{"store is slow", func(d *deployment, random *rand.Rand, duration time.Duration) {
		slow := time.Duration(50+random.IntN(200)) * time.Millisecond
		d.injectStoreFault(duration, func(e *entry, on bool) {
			e.faults.SetDelay(map[bool]time.Duration{true: slow}[on])
		})
	}},
	{"store responses are lost", func(d *deployment, random *rand.Rand, duration time.Duration) {
		for _, e := range d.entries {
			e.markDisturbed(time.Now().Add(duration))
			e.faults.DropResponses(1+random.IntN(4), time.Duration(random.IntN(2000))*time.Millisecond)
		}
		time.Sleep(duration)
	}},
	{"store compacts its history", func(d *deployment, _ *rand.Rand, _ time.Duration) { d.store.Compact() }},
	{"connections to the store are reset", func(d *deployment, random *rand.Rand, _ time.Duration) {
		e := d.randomEntry(random)
		e.markDisturbed(time.Now())
		e.proxy.resetConnections()
	}},
	{"link from an entry to the store fails", func(d *deployment, random *rand.Rand, duration time.Duration) {
		e := d.randomEntry(random)
		e.markDisturbed(time.Now().Add(duration))
		e.proxy.setLink(linkFaults[random.IntN(len(linkFaults))])
		time.Sleep(duration)
		e.proxy.setLink(linkState{})
	}},
	{"link to a worker fails", func(d *deployment, random *rand.Rand, duration time.Duration) {
		w := d.randomWorker(random)
		w.proxy.setLink(linkFaults[random.IntN(len(linkFaults))])
		time.Sleep(duration)
		w.proxy.setLink(linkState{})
	}},
	{"connections to a worker are reset", func(d *deployment, random *rand.Rand, _ time.Duration) {
		d.randomWorker(random).proxy.resetConnections()
	}},
	{"a worker executes orders without responding", func(d *deployment, random *rand.Rand, duration time.Duration) {
		w := d.randomWorker(random).worker
		w.DropResponses(true)
		time.Sleep(duration)
		w.DropResponses(false)
	}},
	{"a worker crashes and restarts", func(d *deployment, random *rand.Rand, duration time.Duration) {
		w := d.randomWorker(random).worker
		if !d.control.IsCurrentWorker(w) {
			return // the instance has a newer worker
		}
		w.Crash()
		time.Sleep(duration)
		if d.control.IsCurrentWorker(w) {
			w.Restart()
			d.store.Put("servers", w.ID(), w.Record())
		}
	}},
	{"responses to orders on instances are lost", func(d *deployment, random *rand.Rand, _ time.Duration) { d.control.DropResponses(1 + random.IntN(3)) }},
}

// linkFaults are the ways in which a link can fail.
var linkFaults = []linkState{
	{holdToServer: true}, {holdToClient: true}, {holdToServer: true, holdToClient: true}, {delay: 100 * time.Millisecond}, {closeNew: true}, {stallExisting: true},
}

func (d *deployment) randomEntry(random *rand.Rand) *entry {
	return d.entries[random.IntN(len(d.entries))]
}

// randomWorker returns any worker that was ever started. A fault at a worker that was since replaced on its instance has no effect.
func (d *deployment) randomWorker(random *rand.Rand) *proxiedWorker {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.workers[random.IntN(len(d.workers))]
}

func (d *deployment) kill(e *entry, duration time.Duration) {
	e.markDisturbed(time.Now().Add(duration))
	e.signal(syscall.SIGKILL)
	e.wait()
	time.Sleep(duration)
	d.restart(e)
}

// hangupInterval is the time between two SIGHUPs that an entry gets around a planned stop.
const hangupInterval = 300 * time.Millisecond

// stop stops an entry gracefully, kills it if it exceeds its grace period, and restarts it after the duration. Before and during the stop, its settings
// file counts as changed.
func (d *deployment) stop(e *entry, duration time.Duration) {
	e.signal(syscall.SIGHUP)
	e.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		e.wait()
		close(ended)
	}()
	hangups := time.NewTicker(hangupInterval)
	defer hangups.Stop()
	graceEnds := time.After(gracePeriod)
	for stopping := true; stopping; {
		select {
		case <-ended:
			stopping = false
		case <-hangups.C:
			e.signal(syscall.SIGHUP)
		case <-graceEnds:
			e.markDisturbed(time.Now())
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(duration)
	d.restart(e)
}

// restart starts the entry's process unless an overlapping fault has already done so.
func (d *deployment) restart(e *entry) {
	if !e.running() {
		d.start(e)
	}
}

func (d *deployment) injectStoreFault(duration time.Duration, set func(e *entry, on bool)) {
	for _, e := range d.entries {
		e.markDisturbed(time.Now().Add(duration))
		set(e, true)
	}
	time.Sleep(duration)
	for _, e := range d.entries {
		set(e, false)
	}
}

// clearFaults ends all faults that are still active.
func (d *deployment) clearFaults() {
	for _, e := range d.entries {
		e.signal(syscall.SIGCONT)
		e.faults.FailWithStatus(0)
		e.faults.Hang(false)
		e.faults.SetDelay(0)
		e.proxy.setLink(linkState{})
		d.restart(e)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, w := range d.workers {
		w.proxy.setLink(linkState{})
	}
}

// schedule is the faults of one seed. Their start times are random, so they may overlap, and the same fault may occur twice.
type schedule struct {
	faults []scheduledFault
}

type scheduledFault struct {
	start, duration time.Duration
	fault           fault
	seed            uint64
}

func newSchedule(seed uint64, length time.Duration) (s schedule) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range 4 + random.IntN(8) {
		s.faults = append(s.faults, scheduledFault{
			start:    time.Duration(random.Int64N(int64(length))),
			duration: time.Duration(200+random.IntN(4000)) * time.Millisecond,
			fault:    faults[random.IntN(len(faults))], seed: random.Uint64(),
		})
	}
	return s
}

func (s schedule) String() (text string) {
	for _, f := range s.faults {
		text += fmt.Sprintf("\n  %5.2f s, %4.2f s: %s", f.start.Seconds(), f.duration.Seconds(), f.fault.name)
	}
	return text
}

// run injects all faults of the schedule and returns when the last one has ended.
func (s schedule) run(d *deployment) {
	var all sync.WaitGroup
	for _, f := range s.faults {
		all.Go(func() {
			time.Sleep(f.start)
			f.fault.inject(d, rand.New(rand.NewPCG(f.seed, 3)), f.duration)
		})
	}
	all.Wait()
}
