package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes, written as 512, 64KiB, 16MiB or 256GiB.
type Size int64

// The units of a Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

var sizeUnits = []struct {
	suffix string
	size   Size
}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"", 1}}

// UnmarshalText parses a size with an optional unit; it fails if the number is negative, not an integer or too large.
func (s *Size) UnmarshalText(text []byte) (err error) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseInt(number, 10, 64)
		if err != nil || value < 0 || value > int64(1<<62)/int64(unit.size) {
			return fmt.Errorf("invalid size %q, want a number with KiB, MiB or GiB", text)
		}
		*s = Size(value) * unit.size
		return nil
	}
	return nil
}
