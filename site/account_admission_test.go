package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/overload"
)

// pressureLog records what is logged about accounts under pressure.
type pressureLog struct {
	EventLog
	states []*overload.State
}

func (l *pressureLog) AccountsUnderPressure(state *overload.State) {
	l.states = append(l.states, state)
}

// TestAccountAdmissionLog guards against a line at each update, against a missing line when the pressure ends, and against any without accounts.
func TestAccountAdmissionLog(t *testing.T) {
	log := &pressureLog{}
	inherited := &overload.State{Accounts: []overload.AccountState{{Account: "hot", PerMille: 100}}}
	admission := newAccountAdmission(overload.Config{}, inherited, log)
	require.Equal(t, inherited, admission.published, "published before the first round")
	loads := []overload.Load{{Account: "hot", Weight: 10}}
	now := time.Minute
	for admission.update(loads, now) != nil {
		now += startDelayInterval
	}
	pressed := now - time.Minute
	require.LessOrEqual(t, len(log.states), int(pressed/accountLogInterval)+2)
	require.Nil(t, log.states[len(log.states)-1])
	before := len(log.states)
	admission.update(nil, now+time.Second)
	admission.stop()
	require.Len(t, log.states, before)
}

// TestAdmissionSettings guards against an admission that uses the default entitlement although the settings have another.
func TestAdmissionSettings(t *testing.T) {
	process := &Process{config: Config{QuotaOverage: 0.3, QuotaWindow: 8 * time.Second, QuotaSlack: 7}}
	require.Equal(t, overload.Config{Overage: 0.3, Window: 8 * time.Second, Extra: 7}, process.entitlement())
}
