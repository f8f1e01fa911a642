package main

import (
	"fmt"
	"time"
)

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
