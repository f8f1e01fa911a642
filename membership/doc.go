// Package membership keeps track of the other entries: which are live, how fresh the view of the control state is, whether this
// entry may serve, and which entries have acknowledged that an instance leaves.
//
// The rules are in Machine, which does no I/O and receives the time. Keeper feeds it from the table service and from Hello messages.
//
// Load on the table service with n entries: each entry commits its own row every 2 s and scans the rows of all entries every 2 s up
// to 12 entries, every 2 s × ⌈n/12⌉ beyond. That is n/2 writes a second, n/2 scans a second at 9 entries (4.5 of each, 41 rows read
// a second), and at 60 entries 30 writes, 6 scans and 360 rows read a second.
package membership
