//! Queue order, partner shares, placement and cache retention, without I/O.
