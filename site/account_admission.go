package site

import (
	"time"

	"github.com/acaciatally/acaciatally/overload"
)

// accountLogInterval is the interval at which a leader logs the accounts under pressure while there are any.
const accountLogInterval = time.Second

// accountAdmission determines what a leader publishes about accounts under pressure, at the interval of the lease's renewals.
type accountAdmission struct {
	controller *overload.Controller
	eventLog   EventLog
	published  *overload.State
	loggedAt   time.Duration
	logged     bool // the last line had accounts under pressure
}

func newAccountAdmission(config overload.Config, inherited *overload.State, eventLog EventLog) *accountAdmission {
	return &accountAdmission{controller: overload.NewController(config, inherited), published: inherited, eventLog: eventLog}
}

// update returns the state to publish, from the loads measured in a round.
func (a *accountAdmission) update(loads []overload.Load, now time.Duration) *overload.State {
	a.published = a.controller.Update(loads, now)
	if pressed := a.published != nil; pressed != a.logged || pressed && now >= a.loggedAt+accountLogInterval {
		a.eventLog.AccountsUnderPressure(a.published)
		a.logged, a.loggedAt = pressed, now
	}
	return a.published
}

// stop logs the end of the pressure when this entry no longer leads, if the last line named accounts.
func (a *accountAdmission) stop() {
	if a.logged {
		a.eventLog.AccountsUnderPressure(nil)
	}
}
