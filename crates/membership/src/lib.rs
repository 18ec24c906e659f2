//! Failure detection, member table and rendezvous hashing, without I/O.
