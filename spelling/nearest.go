package spelling

import "strings"

// Nearest returns the candidate with the smallest edit distance to word, or the empty string when none is close.
func Nearest(word string, candidates []string) (nearest string) {
	limit := max(1, len(word)/3) + 1
	for _, candidate := range candidates {
		distance := editDistance(strings.ToLower(word), strings.ToLower(candidate))
		if distance < limit {
			limit, nearest = distance, candidate
		}
	}
	return nearest
}

// editDistance counts insertions, deletions, replacements and swaps of neighbours (optimal string alignment).
func editDistance(a, b string) int {
	before, previous, current := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+differs(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], before[j-2]+1)
			}
		}
		before, previous, current = previous, current, before
	}
	return previous[len(b)]
}

func differs(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}
