package spelling

import "strings"

// Nearest returns the candidate with the smallest edit distance to word, ignoring case. It returns the empty string if every distance
// exceeds a third of the length of word in bytes; a distance of one is always accepted.
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

// editDistance returns the optimal string alignment distance: the number of insertions, deletions, substitutions and transpositions of
// adjacent bytes.
func editDistance(a, b string) int {
	prev2, prev, curr := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := 1; i <= len(a); i++ {
		curr[0] = i
		for j := 1; j <= len(b); j++ {
			curr[j] = min(prev[j]+1, curr[j-1]+1, prev[j-1]+substitutionCost(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				curr[j] = min(curr[j], prev2[j-2]+1)
			}
		}
		prev2, prev, curr = prev, curr, prev2
	}
	return prev[len(b)]
}

func substitutionCost(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}
