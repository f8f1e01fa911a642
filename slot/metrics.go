package slot

import "github.com/VictoriaMetrics/metrics"

type counts struct {
	local, remote *metrics.Counter // grants received, by where the slot home is
	given         *metrics.Counter // grants made by the slot homes of this process
	wrongHome     *metrics.Counter // of these, made while another entry is the slot home in this entry's view
	refused       *metrics.Counter
	unusable      *metrics.Counter // grants that the own view forbids to use
	fallback      *metrics.Counter
	reported      *metrics.Counter // held slots reported to another slot home
	waited        *metrics.Histogram
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		local:     set.GetOrCreateCounter(`acaciatally_slot_grants_total{home="Local"}`),
		remote:    set.GetOrCreateCounter(`acaciatally_slot_grants_total{home="Remote"}`),
		given:     set.GetOrCreateCounter(`acaciatally_slot_home_grants_total`),
		wrongHome: set.GetOrCreateCounter(`acaciatally_slot_wrong_home_grants_total`),
		refused:   set.GetOrCreateCounter(`acaciatally_slot_refusals_total`),
		unusable:  set.GetOrCreateCounter(`acaciatally_slot_unusable_grants_total`),
		fallback:  set.GetOrCreateCounter(`acaciatally_slot_fallbacks_total`),
		reported:  set.GetOrCreateCounter(`acaciatally_slot_held_reports_total`),
		waited:    set.GetOrCreateHistogram(`acaciatally_slot_wait_seconds`),
	}
}

func (c *counts) granted(mine bool) {
	c.given.Inc()
	if !mine {
		c.wrongHome.Inc()
	}
}

func (c *counts) taken(local bool) {
	if local {
		c.local.Inc()
		return
	}
	c.remote.Inc()
}
