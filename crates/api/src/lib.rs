//! Messages generated from the published schema and their Connect unary mapping.
//!
//! Nothing in this crate opens a listening socket: the node's HTTP edge calls [`connect`] with the
//! bytes that it read.

pub mod v1;
