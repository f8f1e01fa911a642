package model

// workerHomes is the policy in which each worker has a home entry that queues requests for it. An entry picks two workers at random and
// forwards the request to the home of the one at which it has fewer requests outstanding itself.
type workerHomes struct {
	simulation *simulation
	pools      []*poolHomes
}

// poolHomes holds the homes of one pool's workers and the number of requests that each entry has outstanding at them.
type poolHomes struct {
	pool        *pool
	homes       []*home
	outstanding [][]int // by entry and worker
}

func newWorkerHomes(s *simulation) *workerHomes {
	created := &workerHomes{simulation: s}
	for _, pool := range s.pools {
		created.pools = append(created.pools, created.newPoolHomes(pool))
	}
	return created
}

func (w *workerHomes) newPoolHomes(pool *pool) *poolHomes {
	created := &poolHomes{pool: pool}
	for i := range pool.workers {
		home := newHome(w.simulation, w.simulation.entries[i%len(w.simulation.entries)], pool.workers[i:i+1])
		home.forwards, home.retry = true, w.submit
		created.homes = append(created.homes, home)
	}
	for range w.simulation.entries {
		created.outstanding = append(created.outstanding, make([]int, len(pool.workers)))
	}
	return created
}

func (w *workerHomes) submit(request *request) {
	for _, homes := range w.pools {
		if homes.pool == request.pool {
			homes.submit(w.simulation, request)
		}
	}
}

func (p *poolHomes) submit(s *simulation, request *request) {
	if request.onFinish != nil {
		request.onFinish()
	}
	outstanding := p.outstanding[request.entry.index]
	index, other := s.random.IntN(len(p.homes)), s.random.IntN(len(p.homes))
	if outstanding[other] < outstanding[index] {
		index = other
	}
	outstanding[index]++
	request.onFinish = func() { outstanding[index]-- }
	p.homes[index].requestSlot(request)
}
