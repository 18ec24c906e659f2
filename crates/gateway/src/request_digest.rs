//! A digest that all tries of one request have in common.
//!
//! Tries differ in their identifier and deadlines, and in the events that the client has already. All else that tells requests
//! apart is the same, and no two requests of one program have it in common unless an engine could not tell them apart either.

use http::Method;
use ridgeworks_records::RequestDigest;
use ridgeworks_routing::CallMetadata;
use xxhash_rust::xxh3::Xxh3;

/// The digest of a request.
pub fn request_digest(
    method: &Method,
    host: &str,
    path: &str,
    body: &[u8],
    metadata: &CallMetadata,
) -> RequestDigest {
    let mut hasher = Xxh3::new();
    for field in [method.as_str(), host, path] {
        add(&mut hasher, field.as_bytes());
    }
    add(&mut hasher, body);
    let options = [
        &metadata.program,
        &metadata.session,
        &metadata.previous_turn,
        &metadata.affinity,
    ];
    for field in options {
        add(&mut hasher, field.as_deref().unwrap_or_default().as_bytes());
    }
    for part in &metadata.prompt_parts {
        add(&mut hasher, &part.hash.to_le_bytes());
        add(&mut hasher, &part.tokens.to_le_bytes());
    }
    RequestDigest(hasher.digest())
}

/// Adds a field with its length, so that the borders of fields count.
fn add(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
