//! Configuration revisions, acceptance, leases and relays, without I/O.
