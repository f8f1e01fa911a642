package intake_test

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
)

func digests(keys ...string) (list []acaciatally.KeyDigest) {
	for _, key := range keys {
		list = append(list, sha256.Sum256([]byte(key)))
	}
	return list
}

// refusalLog records the reasons for which keys were refused.
type refusalLog struct {
	nopEventLog
	reasons []intake.KeyRefusal
}

func (l *refusalLog) KeyRefused(_ acaciatally.QueueName, reason intake.KeyRefusal) {
	l.reasons = append(l.reasons, reason)
}

// TestAuthenticate guards against a call that is executed with a key that is not valid, against the refusal of a valid key, of a public queue or
// of any call without accounts, and against a final refusal by an entry that can't tell whether the key is valid.
func TestAuthenticate(t *testing.T) {
	queues := []acaciatally.Queue{{Name: "keyed"}, {Name: "public", Public: true}}
	accounts := map[acaciatally.AccountName]acaciatally.Account{
		"a": {Name: "a", Keys: digests("a-1", "a-2")}, "b": {Name: "b", Keys: digests("b-1")}, "none": {Name: "none"},
	}
	noAccounts := map[acaciatally.AccountName]acaciatally.Account{}
	const old = 5001 * time.Millisecond
	tests := map[string]struct {
		accounts map[acaciatally.AccountName]acaciatally.Account
		queue    acaciatally.QueueName
		key      string
		age      time.Duration
		account  acaciatally.AccountName
		reason   intake.KeyRefusal // empty if the call is not refused because of its key
		err      error             // nil with a reason if the refusal is not final
	}{
		"valid key":                           {accounts: accounts, queue: "keyed", key: "a-1", account: "a"},
		"other key of the account":            {accounts: accounts, queue: "keyed", key: "a-2", account: "a"},
		"other account":                       {accounts: accounts, queue: "keyed", key: "b-1", account: "b"},
		"missing key":                         {accounts: accounts, queue: "keyed", reason: intake.KeyMissing, err: acaciatally.ErrUnknownKey},
		"unknown key":                         {accounts: accounts, queue: "keyed", key: "c", reason: intake.KeyUnknown, err: acaciatally.ErrUnknownKey},
		"name of an account":                  {accounts: accounts, queue: "keyed", key: "a", reason: intake.KeyUnknown, err: acaciatally.ErrUnknownKey},
		"all accounts removed":                {accounts: noAccounts, queue: "keyed", key: "a-1", reason: intake.KeyUnknown, err: acaciatally.ErrUnknownKey},
		"no accounts":                         {queue: "keyed", key: "a-1"},
		"no accounts, old configuration":      {queue: "keyed", age: old},
		"public queue":                        {accounts: accounts, queue: "public"},
		"public queue, valid key":             {accounts: accounts, queue: "public", key: "a-1"},
		"public queue, unknown key":           {accounts: accounts, queue: "public", key: "c"},
		"public queue, old configuration":     {accounts: accounts, queue: "public", age: old},
		"removed queue":                       {accounts: accounts, queue: "gone", key: "a-1", err: acaciatally.ErrQueueNotFound},
		"valid key, at the bound":             {accounts: accounts, queue: "keyed", key: "a-1", age: 5 * time.Second, account: "a"},
		"valid key, old configuration":        {accounts: accounts, queue: "keyed", key: "a-1", age: old, reason: intake.ConfigurationTooOld},
		"missing key, old configuration":      {accounts: accounts, queue: "keyed", age: old, reason: intake.ConfigurationTooOld},
		"unknown key, old configuration":      {accounts: accounts, queue: "keyed", key: "c", age: old, reason: intake.ConfigurationTooOld},
		"unknown key that may be a newer one": {accounts: accounts, queue: "keyed", key: "c", age: 3 * time.Second, reason: intake.ConfigurationTooOld},
		"unknown key, usual age":              {accounts: accounts, queue: "keyed", key: "c", age: 2 * time.Second, reason: intake.KeyUnknown, err: acaciatally.ErrUnknownKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := &refusalLog{}
			routes := intake.NewRoutes(&acaciatally.Configuration{Queues: queues, Accounts: test.accounts})
			service := intake.New(intake.Config{
				Routes: func() *intake.Routes { return routes }, ConfigurationAge: func() time.Duration { return test.age }, EventLog: log,
			})
			account, err := service.Authenticate(acaciatally.Queue{Name: test.queue}, test.key)
			require.Equal(t, test.account, account)
			if test.reason == "" {
				require.Empty(t, log.reasons)
			} else {
				require.Equal(t, []intake.KeyRefusal{test.reason}, log.reasons)
			}
			if test.reason == intake.ConfigurationTooOld {
				var refused *acaciatally.NotAcceptedError
				require.ErrorAs(t, err, &refused)
				require.Positive(t, refused.RetryAfter)
				require.False(t, refused.Overload)
				return
			}
			require.ErrorIs(t, err, test.err)
		})
	}
}

// TestAuthenticateDuringChange guards against a call that is judged by two versions of the configuration: a queue that is made public while its
// accounts are removed would refuse a call that both versions allow.
func TestAuthenticateDuringChange(t *testing.T) {
	versions := []*intake.Routes{
		intake.NewRoutes(&acaciatally.Configuration{
			Version: 1, Queues: []acaciatally.Queue{{Name: "q", Prefix: "/q/"}},
			Accounts: map[acaciatally.AccountName]acaciatally.Account{"a": {Name: "a", Keys: digests("a-1")}},
		}),
		intake.NewRoutes(&acaciatally.Configuration{
			Version: 2, Queues: []acaciatally.Queue{{Name: "q", Prefix: "/q/", Public: true}},
			Accounts: map[acaciatally.AccountName]acaciatally.Account{"a": {Name: "a"}},
		}),
	}
	current := versions[0]
	service := intake.New(intake.Config{Routes: func() *intake.Routes { return current }, EventLog: nopEventLog{}})
	queue, _, err := service.Queue("", "/q/1")
	require.NoError(t, err)
	current = versions[1]
	account, err := service.Authenticate(queue, "a-1")
	require.NoError(t, err)
	require.Empty(t, account)
}

// TestAuthenticateAfterPause guards against a key that is accepted because the process paused between reading the age and the configuration, and
// against the age of a later configuration being taken for that of the one in use.
func TestAuthenticateAfterPause(t *testing.T) {
	newer := intake.NewRoutes(&acaciatally.Configuration{Queues: []acaciatally.Queue{{Name: "q"}}, Accounts: map[acaciatally.AccountName]acaciatally.Account{}})
	older := intake.NewRoutes(&acaciatally.Configuration{
		Queues: []acaciatally.Queue{{Name: "q"}}, Accounts: map[acaciatally.AccountName]acaciatally.Account{"a": {Name: "a", Keys: digests("a-1")}},
	})
	current, age := older, 10*time.Second
	service := intake.New(intake.Config{
		Routes: func() *intake.Routes { return current }, EventLog: nopEventLog{},
		ConfigurationAge: func() time.Duration {
			before := age
			current, age = newer, 0 // the newer version arrives as soon as the age has been read
			return before
		},
	})
	_, err := service.Authenticate(acaciatally.Queue{Name: "q"}, "a-1")
	require.Error(t, err)
}

// TestNoConfigurationYet guards against an answer about a key before the first configuration, as after a start during an outage of the store.
func TestNoConfigurationYet(t *testing.T) {
	service := newService(&fakeStore{})
	_, err := service.Authenticate(queue, "a-1")
	var refused *acaciatally.NotAcceptedError
	require.ErrorAs(t, err, &refused)
}
