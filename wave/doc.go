// Package wave plans maintenance waves, which reboot the instances of all pools within the pools' availability budgets, one instance of a
// failure domain at a time. Failures hold all waves until a quiet period has passed.
package wave
