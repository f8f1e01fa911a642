package ordering

// CompareBools compares two booleans as cmp.Compare does. False is less than true.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
