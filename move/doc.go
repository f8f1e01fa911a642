// Package move plans the moves of instances between pools. It moves ahead of forecast bursts, prefers the spare pool, weighs the costs of
// moves and of reserve, and does not reverse a move within a hold time.
package move
