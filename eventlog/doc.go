// Package eventlog writes one structured log line for each event. Its rate is limited, and it never blocks its callers.
package eventlog
