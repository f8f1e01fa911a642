package observation

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation/observationpb"
	"github.com/acaciatally/acaciatally/peer"
)

const (
	// shareInterval matches the one-second buckets of the demand history.
	shareInterval = time.Second
	// shareTimeout limits one send, so that an unresponsive entry does not delay the next report.
	shareTimeout = 500 * time.Millisecond
	// fullMeshLimit is the maximum number of peers for which each entry reports to all others, so that a new holder of the control
	// lease already has the demand history. In larger groups only the holder gets reports, since the traffic of a full mesh grows with
	// the square of the number of entries.
	fullMeshLimit = 12
)

// SharerConfig configures a Sharer.
type SharerConfig struct {
	Recorder   *Recorder
	Collector  *Collector
	Entry      acaciatally.EntryID
	Membership acaciatally.Membership
	// Holder returns the last known holder of the control lease.
	Holder func() acaciatally.EntryID
}

// Sharer sends this entry's observations to its own Collector and to other entries.
type Sharer struct {
	config SharerConfig
}

// NewSharer returns a sharer that has not been started.
func NewSharer(config SharerConfig) *Sharer {
	return &Sharer{config: config}
}

// Handlers returns the handler of observation streams.
func (s *Sharer) Handlers() map[peer.StreamKind]peer.Handler {
	return map[peer.StreamKind]peer.Handler{peer.StreamObservation: s.receive}
}

func (s *Sharer) receive(_ context.Context, from acaciatally.EntryID, stream *peer.Stream) {
	var message observationpb.Observation
	if stream.Receive(&message) == nil {
		s.config.Collector.Receive(from, &message)
	}
}

// Run shares the observations every second until ctx is done. It returns nil.
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
	message := newMessage(demand, reports)
	for _, to := range s.recipients() {
		go s.send(ctx, node, to, message)
	}
}

// recipients returns all live peers if there are at most fullMeshLimit, otherwise only the holder of the control lease.
func (s *Sharer) recipients() (recipients []acaciatally.EntryID) {
	live := s.config.Membership.Live()
	holder := s.config.Holder()
	for _, other := range live {
		if len(live) <= fullMeshLimit || other.ID == holder {
			recipients = append(recipients, other.ID)
		}
	}
	return recipients
}

func (s *Sharer) send(ctx context.Context, node *peer.Node, to acaciatally.EntryID, message *observationpb.Observation) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	stream, err := node.Open(ctx, to, peer.StreamObservation)
	if err != nil {
		return
	}
	defer stream.Close()
	_ = stream.Send(message)
}

func newMessage(demand []acaciatally.PoolDemand, reports []acaciatally.InstanceReport) *observationpb.Observation {
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
