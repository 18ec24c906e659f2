//! Replicated log of each run, without I/O: ballots, acceptors, proposers, recovery, budget.
