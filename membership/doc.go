// Package membership tracks the other entries: which are live, how fresh this entry's view of the control state is, whether this entry
// may serve, and whether all entries have acknowledged that an instance leaves service.
//
// StateMachine holds the rules; it does no I/O and gets the time as a parameter. Tracker runs it with the rows of the table service and
// the Hello messages that entries gossip.
//
// Load on the table service with n entries: each entry commits its own row every 2 s. It scans the rows of all entries every 2 s with up
// to 12 entries, and every 2 s × ⌈n/12⌉ with more. That is n/2 writes per second and, up to 12 entries, n/2 scans per second: at 9 entries
// 4.5 writes, 4.5 scans and 41 rows read per second, and at 60 entries 30 writes, 6 scans and 360 rows read per second.
package membership
