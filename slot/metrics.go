package slot

import "github.com/VictoriaMetrics/metrics"

// serviceMetrics holds the metrics of one Service.
type serviceMetrics struct {
	local, remote *metrics.Counter // grants received from a slot home in this process or in another entry
	homeGrants    *metrics.Counter // grants made by the slot homes of this process
	wrongHome     *metrics.Counter // subset of homeGrants made while another entry is the slot home in this entry's view
	refused       *metrics.Counter
	unusable      *metrics.Counter // grants received that this entry's view forbids to use
	fallback      *metrics.Counter
	heldReports   *metrics.Counter // reports of held slots to a slot home after a change or loss of the slot home
	waitTime      *metrics.Histogram
}

func newServiceMetrics(set *metrics.Set) *serviceMetrics {
	return &serviceMetrics{
		local:       set.GetOrCreateCounter(`acaciatally_slot_grants_total{home="Local"}`),
		remote:      set.GetOrCreateCounter(`acaciatally_slot_grants_total{home="Remote"}`),
		homeGrants:  set.GetOrCreateCounter(`acaciatally_slot_home_grants_total`),
		wrongHome:   set.GetOrCreateCounter(`acaciatally_slot_wrong_home_grants_total`),
		refused:     set.GetOrCreateCounter(`acaciatally_slot_refusals_total`),
		unusable:    set.GetOrCreateCounter(`acaciatally_slot_unusable_grants_total`),
		fallback:    set.GetOrCreateCounter(`acaciatally_slot_fallbacks_total`),
		heldReports: set.GetOrCreateCounter(`acaciatally_slot_held_reports_total`),
		waitTime:    set.GetOrCreateHistogram(`acaciatally_slot_wait_seconds`),
	}
}

func (m *serviceMetrics) recordHomeGrant(isHome bool) {
	m.homeGrants.Inc()
	if !isHome {
		m.wrongHome.Inc()
	}
}

func (m *serviceMetrics) recordGrant(local bool) {
	if local {
		m.local.Inc()
		return
	}
	m.remote.Inc()
}
