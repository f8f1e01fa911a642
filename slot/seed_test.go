package slot

import "flag"

// init fixes the seed of the property tests, so that runs are repeatable. The flag -rapid.seed takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
