package settings

import "time"

// Default sets every value that the file omits.
func (s *Settings) Default() {
	s.Platform.Default()
	s.Traffic.Default()
	s.Control.Default()
	s.Peers.Default()
	s.Weights.Default()
	for i := range s.Pools {
		s.Pools[i].Default()
	}
}

// Default sets the omitted values of the platform.
func (p *Platform) Default() {
	duration(&p.Timeout, 2*time.Second)
}

// Default sets the omitted values of a pool and its instances.
func (p *Pool) Default() {
	if p.MaxUnavailable == 0 {
		p.MaxUnavailable = 1
	}
	if p.ProvesNotRun == nil {
		p.ProvesNotRun = []int{429}
	}
	for i := range p.Instances {
		if p.Instances[i].Slots == 0 {
			p.Instances[i].Slots = 8
		}
		if p.Instances[i].Connections == 0 {
			p.Instances[i].Connections = 64
		}
	}
}

// Default sets the omitted limits of the traffic path.
func (t *Traffic) Default() {
	size(&t.MaxBody, 4*MiB)
	size(&t.MaxHeader, 16*KiB)
	size(&t.MaxAnswer, MiB)
	duration(&t.DefaultDeadline, 30*time.Second)
	duration(&t.MaxDeadline, 10*time.Minute)
	count(&t.QueueLength, 4096)
	size(&t.QueueBytes, 16*MiB)
	share(&t.Floors.Urgent, 0.5)
	share(&t.Floors.Normal, 0.3)
	share(&t.Floors.Background, 0.1)
	share(&t.RetryBudget, 0.05)
	count(&t.MaxRetries, 2)
	duration(&t.ConnectTimeout, 2*time.Second)
	duration(&t.ClaimRetention, time.Hour)
	duration(&t.ClaimInterval, 20*time.Millisecond)
}

// Default sets the omitted intervals of the control path.
func (c *Control) Default() {
	duration(&c.PollInterval, time.Second)
	duration(&c.ViewLimit, 2500*time.Millisecond)
	duration(&c.LeaseTerm, 10*time.Second)
	duration(&c.LeaseRenewal, 3*time.Second)
	duration(&c.RoundInterval, time.Second)
	duration(&c.WaveCalm, 2*time.Minute)
	duration(&c.MoveHold, 30*time.Second)
}

// Default sets the omitted intervals and timeouts of the communication between entries.
func (p *Peers) Default() {
	duration(&p.HelloInterval, time.Second)
	duration(&p.HeartbeatInterval, 2*time.Second)
	duration(&p.KeepAlive, 2*time.Second)
	duration(&p.WriteTimeout, 2*time.Second)
	duration(&p.AnswerLimit, 50*time.Millisecond)
	duration(&p.ProbeInterval, time.Second)
	duration(&p.HintTerm, time.Minute)
}

// Default sets each omitted weight to 1, so that all costs count the same.
func (w *Weights) Default() {
	for _, weight := range []*float64{&w.Reserve, &w.Moves, &w.RollOut, &w.Protection} {
		share(weight, 1)
	}
}

func duration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

func size(value *Size, fallback Size) {
	if *value == 0 {
		*value = fallback
	}
}

func count(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func share(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}
