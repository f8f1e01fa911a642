package eventlog

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
)

// AccountUsage sets the gauges of what the runs of each account reserve, of its maximum and of its share. Those of accounts that are not named are removed,
// and all of them with nil, since only the leader knows the usage.
func (l *Logger) AccountUsage(usage map[acaciatally.AccountName]dispatch.AccountUsage) {
	l.gaugeMutex.Lock()
	defer l.gaugeMutex.Unlock()
	current := map[string]bool{}
	for account, amounts := range usage {
		l.setResources(current, "acaciatally_account_used", account, amounts.Used)
		l.setResources(current, "acaciatally_account_maximum", account, amounts.Maximum)
		l.setAccount(current, "acaciatally_account_share", account, amounts.Share.Used)
		l.setAccount(current, "acaciatally_account_entitled", account, amounts.Share.Entitled)
	}
	for name := range l.accountGauges {
		if !current[name] {
			l.metricSet.UnregisterMetric(name)
		}
	}
	l.accountGauges = current
}

// setResources sets one gauge for each resource and adds the names of the gauges to current.
func (l *Logger) setResources(current map[string]bool, metric string, account acaciatally.AccountName, amount acaciatally.ResourceVector) {
	for resource, value := range map[string]int{
		"processors": amount.Processors, "memory": amount.Memory, "accelerators": amount.Accelerators,
	} {
		name := fmt.Sprintf("%s{account=%q,resource=%q}", metric, string(account), resource)
		l.metricSet.GetOrCreateGauge(name, nil).Set(float64(value))
		current[name] = true
	}
}

// setAccount sets one gauge of an account and adds its name to current.
func (l *Logger) setAccount(current map[string]bool, metric string, account acaciatally.AccountName, value float64) {
	name := fmt.Sprintf("%s{account=%q}", metric, string(account))
	l.metricSet.GetOrCreateGauge(name, nil).Set(value)
	current[name] = true
}
