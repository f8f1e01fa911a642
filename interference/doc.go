// Package interference finds the kinds of tasks that slow each other down on one worker.
//
// Detector is a state machine without I/O. Its input is one observation for each ended run: the kind of the task, the worker, the run time, the load
// of the worker, and for each other kind the share of the run's time for which a task of it ran beside the run. Its output is a set of verdicts, each
// an ordered pair of kinds with the factor on the run time of the first while a task of the second is present.
//
// The run time of each observation is compared, as a logarithm, with the mean of its kind at the same load and with the speed of its worker, which is
// learned from the runs of all kinds. What remains is regressed on the share of presence, each as the difference from its own recent mean.
// A slow worker, a wrong estimate, a kind with widely scattered run times and a busy worker are therefore no evidence against a kind.
package interference
