// Package roster keeps what is known of the fleet's instances during one tenure, and carries out moves and maintenance: it has a
// worker emptied first, then orders its instance, and repeats the order until its outcome is known. It does no I/O.
package roster
