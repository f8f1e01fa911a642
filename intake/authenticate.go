package intake

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// DefaultMaxConfigurationAge is the bound on the age of the configuration where the settings have none.
	DefaultMaxConfigurationAge = 5 * time.Second
	// maxAgeToReject is the age of the configuration up to which an unknown key is rejected for good. The platform allows entries 3 s to apply a
	// configuration, so a key that was added earlier has to be accepted; with an older configuration the entry can't tell. The rest of the 3 s is for
	// clocks of different speeds.
	maxAgeToReject = 2900 * time.Millisecond
	// oldConfigurationRetryAfter is the time after which callers may retry with a key that can't be checked.
	oldConfigurationRetryAfter = time.Second
)

// KeyRefusal is the reason for which a call was refused because of its key.
type KeyRefusal string

// The reasons for which calls are refused because of their key.
const (
	KeyMissing          KeyRefusal = "Missing"
	KeyUnknown          KeyRefusal = "Unknown"
	ConfigurationTooOld KeyRefusal = "ConfigurationTooOld" // the key can't be checked
)

// Authenticate returns the account of the key with which a call of the queue is made; it is empty for public queues and without configured
// accounts. The queue and the key are checked against one version of the configuration. It fails with ErrUnknownKey, with ErrQueueNotFound if
// the queue was removed since it was looked up, or with *NotAcceptedError while the configuration is missing or too old to check the key.
func (s *Service) Authenticate(queue acaciatally.Queue, key string) (account acaciatally.AccountName, err error) {
	age := s.configurationAge() // before the routes are loaded, so that it is not the age of a later version
	routes := s.config.Routes()
	if routes == nil {
		return "", errNoConfiguration()
	}
	account, refusal, err := routes.authenticate(queue.Name, key, age, s.config.MaxConfigurationAge)
	if refusal != "" {
		s.config.EventLog.KeyRefused(queue.Name, refusal)
	}
	return account, err
}

// configurationAge returns the age of the configuration; it is 0 if no age is measured.
func (s *Service) configurationAge() time.Duration {
	if s.config.ConfigurationAge == nil {
		return 0
	}
	return s.config.ConfigurationAge()
}

// authenticate is Service.Authenticate for one version of the configuration of the given age.
func (r *Routes) authenticate(
	name acaciatally.QueueName, key string, age, maxAge time.Duration,
) (account acaciatally.AccountName, refusal KeyRefusal, err error) {
	if r.keys == nil {
		return "", "", nil
	}
	public, found := r.public[name]
	if !found {
		return "", "", acaciatally.ErrQueueNotFound
	}
	if public {
		return "", "", nil
	}
	account, found = r.keys.find(key)
	switch {
	case age > maxAge || !found && age > min(maxAge, maxAgeToReject):
		return "", ConfigurationTooOld, &acaciatally.NotAcceptedError{
			Reason: "the configuration is too old to check the key", RetryAfter: oldConfigurationRetryAfter,
		}
	case found:
		return account, "", nil
	case key == "":
		return "", KeyMissing, acaciatally.ErrUnknownKey
	}
	return "", KeyUnknown, acaciatally.ErrUnknownKey
}
