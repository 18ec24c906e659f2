//! Durable storage of a replica: group commit of log entries and configuration revisions.
