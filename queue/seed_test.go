package queue_test

import "flag"

// init fixes the seed of the property tests to make runs repeatable; -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
