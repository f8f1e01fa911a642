// Package admission refuses requests early, with a truthful time to come back.
package admission
