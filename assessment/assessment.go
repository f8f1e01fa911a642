package assessment

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// maxReportsPerInstance bounds the reports kept of one instance while nothing is assessed, such as during an outage of the platform. It
// suffices for one report a second from each of nine entries over most of the window.
const maxReportsPerInstance = 64

// Kind is the conclusion of a finding.
type Kind string

// The kinds of findings.
const (
	Suspected   Kind = "Suspected"   // too few signals, or some entries can connect; not acted on
	Failed      Kind = "Failed"      // at least two independent signals and no connection
	FailsEvery  Kind = "FailsEvery"  // reachable, but all its attempts fail while those on other instances of its pool succeed
	Unsupported Kind = "Unsupported" // enough signals, but on so many instances that the observing entries are more likely cut off
)

// Finding is the assessment of one instance.
type Finding struct {
	Instance acaciatally.InstanceID
	Kind     Kind
	Signals  []string // observations that led to the finding, in words
	Domain   string   // rack or data centre with further failures and their number, or empty
}

// Config tunes an Assessor; zero values are replaced by the defaults.
type Config struct {
	Window         time.Duration // age up to which reports count, default 10 s
	ListLag        time.Duration // time by which the platform's list lags, default 30 s
	MinUnreachable int           // attempts of one entry without a connection that are a signal, default 2
	MinFailed      int           // failed attempts without a success that give FailsEvery, default 10
	MaxFailedShare float64       // share of the fleet above which failures are Unsupported, default 0.5
}

func (c *Config) setDefaults() {
	if c.Window == 0 {
		c.Window = 10 * time.Second
	}
	if c.ListLag == 0 {
		c.ListLag = 30 * time.Second
	}
	if c.MinUnreachable == 0 {
		c.MinUnreachable = 2
	}
	if c.MinFailed == 0 {
		c.MinFailed = 10
	}
	if c.MaxFailedShare == 0 {
		c.MaxFailedShare = 0.5
	}
}

// Assessor derives findings from recent observations; it is not safe for concurrent use.
type Assessor struct {
	config     Config
	reports    map[acaciatally.InstanceID][]acaciatally.InstanceReport
	listed     map[acaciatally.InstanceID]acaciatally.ListedInstance
	listReadAt time.Time // zero until a list is read
}

// New returns an assessor without observations.
func New(config Config) *Assessor {
	config.setDefaults()
	return &Assessor{config: config, reports: map[acaciatally.InstanceID][]acaciatally.InstanceReport{}}
}

// AddReports adds what the entries observed of instances.
func (a *Assessor) AddReports(reports ...acaciatally.InstanceReport) {
	for _, report := range reports {
		kept := a.reports[report.Instance]
		if len(kept) == maxReportsPerInstance {
			kept = slices.Delete(kept, 0, 1)
		}
		a.reports[report.Instance] = append(kept, report)
	}
}

// SetList replaces the platform's instance list, which was read at the given time.
func (a *Assessor) SetList(at time.Time, instances []acaciatally.ListedInstance) {
	a.listReadAt = at
	a.listed = make(map[acaciatally.InstanceID]acaciatally.ListedInstance, len(instances))
	for _, instance := range instances {
		a.listed[instance.ID] = instance
	}
}

// Assess returns the findings on serving and draining instances in order of id. It discards reports outside the window.
func (a *Assessor) Assess(now time.Time, state *fleet.State) (findings []Finding) {
	a.discardOldReports(now, state)
	for id, instance := range state.Instances {
		if instance.Phase != fleet.Serving && instance.Phase != fleet.Draining {
			continue
		}
		if finding, found := a.assessInstance(now, state, instance); found {
			finding.Instance = id
			findings = append(findings, finding)
		}
	}
	slices.SortFunc(findings, func(x, y Finding) int { return cmp.Compare(x.Instance, y.Instance) })
	a.withdrawImplausible(state, findings)
	nameDomains(state, findings)
	return findings
}

func (a *Assessor) discardOldReports(now time.Time, state *fleet.State) {
	for id, reports := range a.reports {
		reports = slices.DeleteFunc(reports, func(report acaciatally.InstanceReport) bool { return now.Sub(report.At) > a.config.Window })
		if _, known := state.Instances[id]; len(reports) == 0 || !known {
			delete(a.reports, id)
			continue
		}
		a.reports[id] = reports
	}
}

// sumByEntry sums the reports of each entry. For a serving instance, reports from before its present phase are left out.
func (a *Assessor) sumByEntry(instance fleet.Instance) (sums []acaciatally.InstanceReport) {
	for _, report := range a.reports[instance.ID] {
		if report.At.Before(instance.PhaseSince) && instance.Phase == fleet.Serving {
			continue
		}
		at := slices.IndexFunc(sums, func(sum acaciatally.InstanceReport) bool { return sum.Entry == report.Entry })
		if at < 0 {
			sums = append(sums, report)
			continue
		}
		sums[at].Connected += report.Connected
		sums[at].Unreachable += report.Unreachable
		sums[at].Succeeded += report.Succeeded
		sums[at].Failed += report.Failed
	}
	slices.SortFunc(sums, func(x, y acaciatally.InstanceReport) int { return cmp.Compare(x.Entry, y.Entry) })
	return sums
}

func (a *Assessor) assessInstance(now time.Time, state *fleet.State, instance fleet.Instance) (finding Finding, found bool) {
	connected, succeeded, failed := 0, 0, 0
	for _, sum := range a.sumByEntry(instance) {
		if sum.Connected == 0 && sum.Unreachable >= a.config.MinUnreachable {
			finding.Signals = append(finding.Signals, "entry "+string(sum.Entry)+" cannot connect")
		}
		connected, succeeded, failed = connected+sum.Connected, succeeded+sum.Succeeded, failed+sum.Failed
	}
	if connected > 0 {
		// An instance that some entries can connect to is running; the others are cut off from it.
		finding.Kind = Suspected
		if failed >= a.config.MinFailed && succeeded == 0 && a.poolSucceeds(state, instance) {
			finding.Kind = FailsEvery
			finding.Signals = append(finding.Signals, "all attempts fail", "other instances of the pool succeed")
		}
		return finding, len(finding.Signals) > 0
	}
	if len(finding.Signals) > 0 && a.missingFromList(now, instance) {
		finding.Signals = append(finding.Signals, "the list does not show it")
	}
	finding.Kind = Suspected
	if len(finding.Signals) >= 2 {
		finding.Kind = Failed
	}
	return finding, len(finding.Signals) > 0
}

// missingFromList reports whether a recent list omits the instance although it has been in its phase for longer than the list lags, or
// shows it as seen too long ago. That is a signal, but no proof on its own.
func (a *Assessor) missingFromList(now time.Time, instance fleet.Instance) bool {
	if a.listReadAt.IsZero() || now.Sub(a.listReadAt) > a.config.ListLag || now.Sub(instance.PhaseSince) < a.config.ListLag {
		return false
	}
	listed, found := a.listed[instance.ID]
	return !found || now.Sub(listed.SeenAt) > 2*a.config.ListLag
}

// poolSucceeds reports whether attempts succeed on another instance of the pool, which rules out that the requests themselves fail.
func (a *Assessor) poolSucceeds(state *fleet.State, instance fleet.Instance) bool {
	for id, reports := range a.reports {
		if id == instance.ID || state.Instances[id].Pool != instance.Pool {
			continue
		}
		for _, report := range reports {
			if report.Succeeded > 0 {
				return true
			}
		}
	}
	return false
}

// withdrawImplausible turns Failed into Unsupported when more of the fleet has failed than can plausibly fail at the same time.
func (a *Assessor) withdrawImplausible(state *fleet.State, findings []Finding) {
	failed := 0
	for _, finding := range findings {
		if finding.Kind == Failed {
			failed++
		}
	}
	if float64(failed) <= a.config.MaxFailedShare*float64(len(state.Instances)) {
		return
	}
	for i := range findings {
		if findings[i].Kind == Failed {
			findings[i].Kind = Unsupported
		}
	}
}
