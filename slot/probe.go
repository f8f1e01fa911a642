package slot

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally/fleet"
)

const (
	probeTimeout        = 900 * time.Millisecond // for all probes of one interval; shorter than the default ProbeInterval
	maxConcurrentProbes = 64
	maxProbeBody        = 4 << 10 // bytes of the response body read, so that the connection can be reused
)

// runProbes requests the health path of the serving workers of all pools whose slot home is this entry, until ctx ends. Status 503
// means that a worker is leaving service.
func (s *Service) runProbes(ctx context.Context) {
	ticker := time.NewTicker(s.config.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.probeAll(ctx)
		}
	}
}

func (s *Service) probeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	state := s.config.State()
	for _, pool := range state.Pools {
		if pool.HealthPath == "" || s.Home(pool.Name) != s.config.Self {
			continue
		}
		for _, member := range state.Members(pool.Name) {
			if member.Phase == fleet.Serving {
				group.Go(func() error { return s.probe(ctx, member, pool.HealthPath) })
			}
		}
	}
	_ = group.Wait()
}

func (s *Service) probe(ctx context.Context, member fleet.Instance, path string) error {
	url := "http://" + member.Address.String() + "/" + strings.TrimPrefix(path, "/")
	status, err := s.config.Probe(ctx, url)
	if err == nil && status == http.StatusServiceUnavailable {
		s.config.OnLeaving(member.ID)
	}
	return nil
}

func probeHTTP(ctx context.Context, url string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody))
	return response.StatusCode, nil
}
