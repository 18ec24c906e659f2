//! The node daemon ridgeworksd: actors, HTTP edges, links and disk.
