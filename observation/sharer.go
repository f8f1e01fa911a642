package observation

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation/observationpb"
	"github.com/acaciatally/acaciatally/peer"
)

const (
	// shareInterval matches the one-second buckets of the demand's history.
	shareInterval = time.Second
	// shareTimeout keeps a frozen entry from delaying the next report to the others.
	shareTimeout = 500 * time.Millisecond
	// meshLimit is the number of peers up to which each entry reports to all, so that a new holder of the control lease knows the
	// rhythm already; beyond it only the holder is told, since the bytes grow with the square of the entries.
	meshLimit = 12
)

// SharerConfig is what a Sharer needs.
type SharerConfig struct {
	Recorder   *Recorder
	Collector  *Collector
	Entry      acaciatally.EntryID
	Membership acaciatally.Membership
	// Holder returns the entry that holds the control lease as far as it is known.
	Holder func() acaciatally.EntryID
}

// Sharer reports this entry's observations to the entries that need them.
type Sharer struct {
	config SharerConfig
}

// NewSharer returns a sharer that is not yet running.
func NewSharer(config SharerConfig) *Sharer {
	return &Sharer{config: config}
}

// Handlers returns the handler of the streams that carry observations.
func (s *Sharer) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{peer.Observation: s.receive}
}

func (s *Sharer) receive(_ context.Context, from acaciatally.EntryID, stream *peer.Stream) {
	var message observationpb.Observation
	if stream.Receive(&message) == nil {
		s.config.Collector.Receive(from, &message)
	}
}

// Run shares the observations each second until ctx ends.
func (s *Sharer) Run(ctx context.Context, node *peer.Node) (err error) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.share(ctx, node)
		}
	}
}

func (s *Sharer) share(ctx context.Context, node *peer.Node) {
	demand, reports := s.config.Recorder.Take()
	s.config.Collector.Add(s.config.Entry, demand, reports)
	message := encode(demand, reports)
	for _, to := range s.receivers() {
		go s.send(ctx, node, to, message)
	}
}

// receivers returns all live peers of a small group, else the holder of the control lease.
func (s *Sharer) receivers() (receivers []acaciatally.EntryID) {
	live := s.config.Membership.Live()
	holder := s.config.Holder()
	for _, known := range live {
		if len(live) <= meshLimit || known.ID == holder {
			receivers = append(receivers, known.ID)
		}
	}
	return receivers
}

func (s *Sharer) send(ctx context.Context, node *peer.Node, to acaciatally.EntryID, message *observationpb.Observation) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	stream, err := node.Open(ctx, to, peer.Observation)
	if err != nil {
		return
	}
	defer stream.Close()
	_ = stream.Send(message)
}

func encode(demand []acaciatally.PoolDemand, reports []acaciatally.InstanceReport) *observationpb.Observation {
	message := &observationpb.Observation{}
	for _, pool := range demand {
		message.Demand = append(message.Demand, &observationpb.PoolDemand{Pool: string(pool.Pool), Slots: pool.Slots})
	}
	for _, report := range reports {
		message.Reports = append(message.Reports, &observationpb.InstanceReport{
			Instance: string(report.Instance), Connected: uint32(report.Connected), Unreachable: uint32(report.Unreachable),
			Succeeded: uint32(report.Succeeded), Failed: uint32(report.Failed),
		})
	}
	return message
}
