package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

const (
	storeAnswer     = 4 * time.Millisecond   // usual time of an answer of the store
	storeAnswerSlow = 240 * time.Millisecond // sixty times as long
)

// firstInQueue hands in the first submission of each of many queues while another entry takes the lead over with a slow store.
func firstInQueue() scenario {
	const queues = 70
	routes := make([]route, queues)
	for i := range routes {
		routes[i] = route{fmt.Sprintf("r-%03d", i), fmt.Sprintf("/queue%03d/", i), "intake"}
	}
	path := func(i int) string { return fmt.Sprintf("%s%016x", routes[i].prefix, 0xb000+i) }
	accepted := map[string]time.Time{}
	var mutex sync.Mutex
	return scenario{
		entries: 3,
		routes:  routes,
		workers: sixWorkers(func(string) time.Duration { return 800 * time.Millisecond }),
		play: func(b *bench) error {
			b.setStore(func(f *emulator.Faults) { f.SetDelay(storeAnswer) })
			time.Sleep(7 * time.Second)
			leader := b.leader()
			if leader == nil {
				return fmt.Errorf("no entry leads")
			}
			if b.trouble {
				b.setStore(func(f *emulator.Faults) { f.SetDelay(storeAnswerSlow) })
				b.log.note("the store is slow")
				b.kill(leader)
				time.AfterFunc(4500*time.Millisecond, func() {
					b.setStore(func(f *emulator.Faults) { f.SetDelay(storeAnswer) })
					b.log.note("the store is fast again")
				})
			}
			var calls sync.WaitGroup
			for i := range queues {
				calls.Go(func() {
					if b.submit(path(i), map[string]any{"spec": "work", "steps": []any{
						map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 800},
					}}, 10) == nil {
						mutex.Lock()
						accepted[path(i)] = time.Now()
						mutex.Unlock()
					}
				})
				time.Sleep(60 * time.Millisecond)
			}
			calls.Wait()
			time.Sleep(18 * time.Second) // finish_s, and the 3 s of the rule
			for i := range queues {
				if accepted[path(i)].IsZero() {
					continue
				}
				b.state(path(i))
			}
			return nil
		},
		check: func(b *bench) (broken []string) {
			for path, at := range accepted {
				id := path[strings.LastIndex(path, "/")+1:]
				if len(startsOf(b, id+".")) == 0 {
					broken = append(broken, fmt.Sprintf("LOST %s was accepted at %s and nothing of it ever ran, with all workers free", path, b.log.since(at)))
				}
			}
			return broken
		},
	}
}
