package leadership_test

import "flag"

// init fixes the seed of the property tests, so that a run can be repeated; -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
