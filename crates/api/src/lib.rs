//! Messages generated from the published schema and their Connect unary mapping.
