package ordering

// Bools orders false before true, as cmp.Compare orders numbers.
func Bools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
