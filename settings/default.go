package settings

import "time"

// Default sets every value that the file omits.
func (s *Settings) Default() {
	s.Platform.Default()
	s.Traffic.Default()
	s.Ingress.Default()
	s.Control.Default()
	s.Peers.Default()
	s.Weights.Default()
	for i := range s.Pools {
		s.Pools[i].Default()
	}
}

// Default sets the omitted values of the platform.
func (p *Platform) Default() {
	defaultDuration(&p.Timeout, 2*time.Second)
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
	defaultSize(&t.MaxBody, 4*MiB)
	defaultSize(&t.MaxHeader, 16*KiB)
	defaultSize(&t.MaxAnswer, MiB)
	defaultDuration(&t.DefaultDeadline, 30*time.Second)
	defaultDuration(&t.MaxDeadline, 10*time.Minute)
	defaultInt(&t.QueueLength, 4096)
	defaultSize(&t.QueueBytes, 16*MiB)
	defaultFloat(&t.Floors.Urgent, 0.5)
	defaultFloat(&t.Floors.Normal, 0.3)
	defaultFloat(&t.Floors.Background, 0.1)
	defaultFloat(&t.RetryBudget, 0.05)
	defaultInt(&t.MaxRetries, 2)
	defaultDuration(&t.ConnectTimeout, 2*time.Second)
	defaultDuration(&t.ClaimRetention, time.Hour)
	defaultDuration(&t.ClaimInterval, 20*time.Millisecond)
}

// Default sets the omitted limits on requests on their way in, except those that follow from the entry's memory and descriptors.
func (i *Ingress) Default() {
	defaultSize(&i.SmallRequest, 16*KiB)
	defaultDuration(&i.HeaderTimeout, 5*time.Second)
	defaultDuration(&i.BodyStall, 10*time.Second)
	defaultSize(&i.BodyRate, 8*KiB)
	defaultDuration(&i.BodyTimeout, time.Minute)
	defaultDuration(&i.PressureStall, time.Second)
	defaultSize(&i.PressureRate, 64*KiB)
}

// Default sets the omitted intervals of the control path.
func (c *Control) Default() {
	defaultDuration(&c.PollInterval, time.Second)
	defaultDuration(&c.ViewLimit, 2500*time.Millisecond)
	defaultDuration(&c.LeaseTerm, 10*time.Second)
	defaultDuration(&c.LeaseRenewal, 3*time.Second)
	defaultDuration(&c.RoundInterval, time.Second)
	defaultDuration(&c.WaveCalm, 2*time.Minute)
	defaultDuration(&c.MoveHold, 30*time.Second)
}

// Default sets the omitted intervals and timeouts of the communication between entries.
func (p *Peers) Default() {
	defaultDuration(&p.HelloInterval, time.Second)
	defaultDuration(&p.HeartbeatInterval, 2*time.Second)
	defaultDuration(&p.KeepAlive, 2*time.Second)
	defaultDuration(&p.WriteTimeout, 2*time.Second)
	defaultDuration(&p.AnswerLimit, 50*time.Millisecond)
	defaultDuration(&p.ProbeInterval, time.Second)
	defaultDuration(&p.HintTerm, time.Minute)
}

// Default sets each omitted weight to 1, so that all costs count the same.
func (w *Weights) Default() {
	for _, weight := range []*float64{&w.Reserve, &w.Moves, &w.RollOut, &w.Protection} {
		defaultFloat(weight, 1)
	}
}

func defaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultSize(value *Size, fallback Size) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultFloat(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}
