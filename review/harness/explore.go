package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// timedBacklog lets a schedule fall behind while all entries are without power, and hands a plain submission in to its queue afterwards.
func timedBacklog() scenario {
	const (
		timed = "/quotes/00000000000000c1"
		plain = "/quotes/00000000000000c2"
		width = 800
	)
	var plainAt time.Time
	return scenario{
		entries: 3,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(func(string) time.Duration { return 300 * time.Millisecond }),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if err := b.submit(timed, map[string]any{
				"spec": "work", "steps": []any{map[string]any{"count": width, "cpu": 10, "memMb": 10, "estimateMs": 300}},
				"repeatCount": 45, "startAtMs": time.Now().Add(time.Second).UnixMilli(), "intervalMs": 1000,
			}, 5); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			if b.trouble {
				b.powerOff(9500 * time.Millisecond)
			} else {
				time.Sleep(9500 * time.Millisecond)
			}
			if err := b.waitReady(); err != nil {
				return err
			}
			time.Sleep(6 * time.Second)
			if err := b.submit(plain, map[string]any{"spec": "work", "steps": []any{map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 800}}}, 20); err != nil {
				return err
			}
			plainAt = time.Now()
			for range 18 {
				time.Sleep(time.Second)
				b.state(plain)
			}
			return nil
		},
		check: func(b *bench) (broken []string) {
			if len(startsOf(b, "00000000000000c2.")) == 0 {
				broken = append(broken, fmt.Sprintf("LOST %s was accepted at %s and nothing of it ran for 18 s", plain, b.log.since(plainAt)))
			}
			return broken
		},
	}
}

// crashLoop hands in a subtask that crashes each worker that starts it, some seconds after the start.
func crashLoop() scenario {
	const job = "/quotes/00000000000000d1"
	crashes := 0 * time.Second
	crashAfter := func(task string) time.Duration {
		if strings.HasPrefix(task, "00000000000000d1.") {
			return crashes
		}
		return 0
	}
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: func(b *bench) (list []*worker) {
			list = sixWorkers(func(string) time.Duration { return 6 * time.Second })(b)
			for _, w := range list {
				w.crashAfter = crashAfter
			}
			return list
		},
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if b.trouble {
				crashes = 2500 * time.Millisecond
			}
			for _, w := range b.workers {
				go func() {
					for {
						time.Sleep(50 * time.Millisecond)
						if w.silent() {
							time.Sleep(4 * time.Second)
							w.boot(w.kind, w.cpu)
							b.beatNow(w)
						}
					}
				}()
			}
			if err := b.submit(job, map[string]any{"spec": "work", "steps": []any{map[string]any{"count": 1, "cpu": 3500, "memMb": 4000, "estimateMs": 6000}}}, 5); err != nil {
				return err
			}
			for range 75 {
				time.Sleep(time.Second)
				if state := b.state(job); state == "completed" || state == "failed" {
					break
				}
			}
			return nil
		},
		check: checkCrashBudget,
	}
}

// checkCrashBudget checks BUDGET for a subtask that crashes its workers: at most two more starts after three workers have crashed under it.
func checkCrashBudget(b *bench) (broken []string) {
	crashes, starts := map[string]int{}, map[string]int{}
	for _, e := range b.log.all() {
		switch {
		case e.kind == eventCrash && e.task != "":
			crashes[e.task]++
		case e.kind == eventStart && crashes[e.task] >= 3:
			starts[e.task]++
			if starts[e.task] >= 3 {
				broken = append(broken, fmt.Sprintf("BUDGET %s starts on %s as run %d at %s, the start number %d after three workers have crashed under it",
					e.task, e.worker, e.attempt, b.log.since(e.at), starts[e.task]))
			}
		}
	}
	return broken
}

// otherKind restarts a worker under its id as one of another kind while start orders are on their way to it.
func otherKind() scenario {
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(func(string) time.Duration { return 800 * time.Millisecond }),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			for i := range 60 {
				go b.request(http.MethodPost, b.entries[i%2], fmt.Sprintf("/quotes/%016x", 0xe000+i), map[string]any{"spec": "work", "steps": []any{
					map[string]any{"count": 6, "cpu": 500, "memMb": 1000, "estimateMs": 800, "requirements": "a"},
				}})
				time.Sleep(100 * time.Millisecond)
				if i == 25 && b.trouble {
					busiest := b.busiest()
					busiest.goDark()
					time.AfterFunc(1500*time.Millisecond, func() {
						busiest.boot("b", busiest.cpu)
						b.beatNow(busiest)
					})
				}
			}
			time.Sleep(6 * time.Second)
			return nil
		},
		check: func(b *bench) (broken []string) {
			kind := map[string]string{}
			for _, e := range b.log.all() {
				switch e.kind {
				case eventBoot:
					kind[e.worker] = strings.Fields(e.how)[3]
				case eventStart:
					if kind[e.worker] != "a" {
						broken = append(broken, fmt.Sprintf("ROUTE %s starts on %s as run %d at %s, which has the label %s and not a", e.task, e.worker, e.attempt, b.log.since(e.at), kind[e.worker]))
					}
				}
			}
			return broken
		},
	}
}

// oddEntry has an entry of another writer in the directory, which names the machine of a worker, and kills the leader.
func oddEntry() scenario {
	return scenario{
		entries: 3,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(func(string) time.Duration { return 5 * time.Second }),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			for i := range 12 {
				if err := b.submit(fmt.Sprintf("/quotes/%016x", 0xf000+i), map[string]any{"spec": "work", "steps": []any{
					map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 5000},
				}}, 5); err != nil {
					return err
				}
			}
			time.Sleep(500 * time.Millisecond)
			busiest := b.busiest()
			odd := busiest.entry()
			odd["service"], odd["born"], odd["address"] = "nosuch", time.Now().UnixMilli(), b.subnet+".99:8080"
			b.store.Put("servers", "x-odd", odd)
			b.log.note("an entry of another writer: servers/x-odd %v", odd)
			time.Sleep(500 * time.Millisecond)
			if leader := b.leader(); b.trouble && leader != nil {
				b.kill(leader)
			}
			time.Sleep(12 * time.Second)
			return nil
		},
		check: checkTwice,
	}
}
