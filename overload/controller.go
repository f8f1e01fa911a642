package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/sharing"
)

const (
	// applyDelay is the time from a measured wait to the jobs that a new share admits: up to one renewal of the lease, the commit, and the
	// acceptance of these jobs.
	applyDelay = 500 * time.Millisecond
	// correctionTime is the time within which a wait that differs from the slack is corrected. It is three times applyDelay; less would
	// make the share oscillate.
	correctionTime = 3 * applyDelay
	// maxGrowth is how many times as many jobs as were begun are admitted at most while the wait is short.
	maxGrowth = 2
	// maxShareStep is the factor by which the share rises at most in one update, because of the noise of rates of few jobs.
	maxShareStep = 2
	// minShare keeps a rate measurable, from which the share can rise again.
	minShare = 0.01
	// defaultSlack is the slack of an account's jobs while none has arrived.
	defaultSlack = time.Second
	// settleTime is how long a new leader publishes the state of the leader before it, since its own rates are not known yet.
	settleTime = 2 * time.Second
	// turnTime is the time between changes of State.Turn. Callers return after a second or more, as Retry-After is in whole seconds.
	turnTime = time.Second
)

// Config holds the entitlement of accounts beyond their weights; without a Window, the defaults of package sharing apply to all three.
type Config struct {
	Overage float64       // part of its weight by which an account may exceed it
	Window  time.Duration // time over which its jobs are compared with its weight
	Extra   int           // jobs beyond that in the window, since the rates of small accounts vary
}

func (c Config) withDefaults() Config {
	if c.Window == 0 {
		c.Overage, c.Window, c.Extra = sharing.DefaultOverage, sharing.DefaultWindow, sharing.DefaultSlack
	}
	return c
}

// Load is what the leader measured for one account since the last update.
type Load struct {
	Account acaciatally.AccountName
	Weight  float64       // jobs a second to which the account is entitled
	Wait    time.Duration // estimated wait of a new job beyond the entitlement
	Slack   time.Duration // typical slack of the account's jobs; 0 if unknown
	// EstimatedSlack is the same by the callers' estimates, which may be several times too long or too short.
	EstimatedSlack time.Duration
	Arrived        int // jobs that were accepted
	Begun          int // jobs of which the first task got a worker
}

// Controller determines the shares of jobs to admit. It keeps the wait of the jobs of an account under pressure near their slack: a longer one
// makes results late, a shorter one refuses jobs that could be served in time. It is not safe for concurrent use.
type Controller struct {
	config    Config
	accounts  map[acaciatally.AccountName]*account
	turn      uint32
	turnAt    time.Duration
	updatedAt time.Duration // 0 before the first update
	inherited *State
	settledAt time.Duration
}

// NewController returns the controller of a new leader; inherited is what the leader before it published, or nil.
func NewController(config Config, inherited *State) *Controller {
	c := &Controller{config: config.withDefaults(), accounts: map[acaciatally.AccountName]*account{}, inherited: inherited}
	if inherited != nil {
		c.turn = inherited.Turn
	}
	return c
}

// Update returns the state to publish, nil if no account is under pressure. The loads are those of all accounts with jobs since the last
// update at the time of the last call.
func (c *Controller) Update(loads []Load, now time.Duration) *State {
	elapsed := now - c.updatedAt
	first := c.updatedAt == 0
	c.updatedAt = max(now, 1)
	if first {
		c.start(loads, now)
		return c.inherited
	}
	if elapsed <= 0 {
		return c.state()
	}
	if now >= c.turnAt+turnTime {
		c.turn, c.turnAt = c.turn+1, now
	}
	seen := map[acaciatally.AccountName]bool{}
	for i := range loads {
		seen[loads[i].Account] = true
		if c.accounts[loads[i].Account] == nil {
			c.accounts[loads[i].Account] = newAccount(&c.config)
		}
		c.accounts[loads[i].Account].update(&loads[i], elapsed, now, now < c.settledAt)
	}
	for name := range c.accounts {
		if !seen[name] {
			delete(c.accounts, name) // no longer configured
		}
	}
	return c.state()
}

// start takes over the state of the leader before. What was measured until the first update covers an unknown time and is left out.
func (c *Controller) start(loads []Load, now time.Duration) {
	c.turnAt = now
	if c.inherited == nil {
		return
	}
	c.settledAt = now + settleTime
	for i := range loads {
		if state := c.inherited.Find(loads[i].Account); state != nil {
			c.accounts[loads[i].Account] = inheritedAccount(&c.config, state, now)
		}
	}
}

func (c *Controller) state() *State {
	var published []AccountState
	for name, a := range c.accounts {
		if a.pressed && a.share < 1 {
			published = append(published, AccountState{
				Account: name, PerMille: int(a.share * 1000), WaitMS: inMilliseconds(a.wait),
				RetryMS: inMilliseconds(a.returns.after), IntervalMS: inMilliseconds(a.returns.interval),
			})
		}
	}
	if published == nil {
		return nil
	}
	slices.SortFunc(published, func(a, b AccountState) int { return cmp.Compare(a.Account, b.Account) })
	return &State{Turn: c.turn, Accounts: published}
}

// account is the state of the control of one account.
type account struct {
	config    *Config
	rates     rates
	pressed   bool          // the wait was longer than the slack and has not been clearly shorter since with all jobs admitted
	exceeded  bool          // the wait was longer in the last update
	share     float64       // of new jobs that is admitted
	lastShare float64       // the share before that, which still held for a part of the last interval
	wait      time.Duration // to publish
	returns   returns
}

func newAccount(config *Config) *account {
	return &account{config: config, rates: rates{window: config.Window}, share: 1, lastShare: 1}
}

func inheritedAccount(config *Config, state *AccountState, now time.Duration) *account {
	share := max(minShare, float64(state.PerMille)/1000)
	return &account{
		config: config, rates: rates{window: config.Window}, pressed: true, share: share, lastShare: share, wait: milliseconds(state.WaitMS),
		returns: returns{
			after: milliseconds(state.RetryMS), interval: milliseconds(state.IntervalMS), bookedUntil: now + milliseconds(state.RetryMS+state.IntervalMS),
		},
	}
}

// update sets the share from the load of the last interval; a held share is only measured with.
func (a *account) update(load *Load, elapsed, now time.Duration, held bool) {
	// Entries learn of a share with a delay, so the higher one of the last two counts: the lower one would overstate the offered load.
	a.rates.add(load, max(a.share, a.lastShare), elapsed)
	a.lastShare = a.share
	if held && a.pressed {
		return
	}
	slack := load.Slack
	if slack == 0 {
		slack = defaultSlack
	}
	a.returns.observe(load.Wait - slack)
	if !a.pressed {
		a.rates.observeUsual(elapsed)
		if !a.begins(load, slack) {
			return
		}
		a.pressed = true
	}
	a.wait = max(load.Wait, slack)
	if load.EstimatedSlack > 0 {
		a.wait = time.Duration(float64(a.wait) * float64(load.EstimatedSlack) / float64(slack))
	}
	a.share = a.admittedShare(load, slack)
	if !a.within(load) {
		a.share = min(a.share, maxShareStep*a.lastShare)
	}
	if a.share >= 1 && load.Wait < slack/2 {
		a.pressed = false
	}
	if a.share < 1 {
		a.returns.book(a.rates.offered()*(1-a.share), a.rates.room(), elapsed, now)
	}
}

// begins reports whether the account comes under pressure: the expected wait is longer than the slack in two updates in a row, or clearly so in one.
// What a wait says depends on the number of jobs that its rates come from, and those of small accounts begin in groups; a surge of a large account
// needs an answer at once.
func (a *account) begins(load *Load, slack time.Duration) bool {
	wait := a.expectedWait(load, slack)
	exceeded := wait > slack && !a.within(load)
	clearly := float64(slack) * (1 + 2/math.Sqrt(max(1, a.rates.sum(rateTime).begun)))
	begins := exceeded && (a.exceeded || float64(wait) > clearly)
	a.exceeded = exceeded && !begins
	return begins
}

// within reports whether the offered jobs are within the account's entitlement.
func (a *account) within(load *Load) bool {
	sum := a.rates.sum(a.config.Window)
	seconds := max(a.config.Window, sum.length).Seconds()
	return sum.offered <= load.Weight*(1+a.config.Overage)*seconds+float64(a.config.Extra)
}

// expectedWait returns the wait by the time at which entries apply a new share. A surge of several times the capacity adds as much as the slack
// until then. A wait below half of the slack is taken as it is, since the rates are too noisy to refuse anybody for them alone.
func (a *account) expectedWait(load *Load, slack time.Duration) time.Duration {
	begun := a.rates.begun()
	if load.Wait <= slack/2 || begun == 0 {
		return load.Wait
	}
	growth := max(0, a.rates.admitted()/begun-1)
	return load.Wait + time.Duration(growth*float64(applyDelay))
}

// admittedShare returns the share that admits as many jobs as are begun, more or less by the difference of the wait from the slack, but at
// least those to which the account is entitled.
func (a *account) admittedShare(load *Load, slack time.Duration) float64 {
	offered, begun := a.rates.offered(), a.rates.begun()
	if offered == 0 || a.within(load) {
		return 1
	}
	entitled := load.Weight * (1 + a.config.Overage)
	correction := min(maxGrowth, max(0, 1+(slack-a.expectedWait(load, slack)).Seconds()/correctionTime.Seconds()))
	admitted := begun * correction
	if correction < 1 {
		admitted = entitled + max(0, begun-entitled)*correction
	}
	return min(1, max(minShare, max(entitled, admitted)/offered))
}
