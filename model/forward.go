package model

// workerHomes is the policy in which each worker has a home entry that queues for it. An entry forwards the request to the
// home of the worker on which it has the fewer requests itself, out of two random ones.
type workerHomes struct {
	simulation *simulation
	pools      []*homedPool
}

// homedPool is the homes of one pool's workers and what each entry has outstanding at them.
type homedPool struct {
	pool        *pool
	homes       []*home
	outstanding [][]int // by entry and worker
}

func newWorkerHomes(s *simulation) *workerHomes {
	created := &workerHomes{simulation: s}
	for _, pool := range s.pools {
		created.pools = append(created.pools, created.homed(pool))
	}
	return created
}

func (w *workerHomes) homed(pool *pool) *homedPool {
	created := &homedPool{pool: pool}
	for i := range pool.workers {
		home := newHome(w.simulation, w.simulation.entries[i%len(w.simulation.entries)], pool.workers[i:i+1])
		home.forwards, home.again = true, w.submit
		created.homes = append(created.homes, home)
	}
	for range w.simulation.entries {
		created.outstanding = append(created.outstanding, make([]int, len(pool.workers)))
	}
	return created
}

func (w *workerHomes) submit(request *request) {
	for _, homed := range w.pools {
		if homed.pool == request.pool {
			homed.submit(w.simulation, request)
		}
	}
}

func (p *homedPool) submit(s *simulation, request *request) {
	if request.onEnd != nil {
		request.onEnd()
	}
	outstanding := p.outstanding[request.entry.index]
	index, other := s.random.IntN(len(p.homes)), s.random.IntN(len(p.homes))
	if outstanding[other] < outstanding[index] {
		index = other
	}
	outstanding[index]++
	request.onEnd = func() { outstanding[index]-- }
	p.homes[index].ask(request)
}
