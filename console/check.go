package console

import (
	"errors"
	"fmt"

	"github.com/acaciatally/acaciatally/settings"
)

func check(config Config, arguments []string) (err error) {
	set := newFlagSet(config, "check FILE...", "  acaciatally check examples/authority.yaml examples/cavalcanti.yaml\n")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	if set.NArg() == 0 {
		return &usageError{message: "check needs at least one settings file"}
	}
	failed := 0
	for _, path := range set.Args() {
		if err = checkFile(config, path); err != nil {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d files have errors", failed, set.NArg())
	}
	return nil
}

func checkFile(config Config, path string) error {
	_, err := settings.Load(path)
	var problems *settings.ProblemsError
	switch {
	case err == nil:
		_, _ = fmt.Fprintf(config.Output, "%s: ok\n", path)
	case errors.As(err, &problems):
		for _, problem := range problems.Problems {
			_, _ = fmt.Fprintf(config.Output, "%s: %s\n", path, problem)
		}
	default:
		_, _ = fmt.Fprintf(config.Output, "%s: %s\n", path, err)
	}
	return err
}
