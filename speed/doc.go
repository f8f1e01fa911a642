// Package speed learns which workers are slow or unreliable: how long runs on a worker take compared with runs of the same kind on the other
// workers of its pool, and how many of them fail although their tasks succeed elsewhere.
package speed
