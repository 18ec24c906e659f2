//! Checksums of stored values. `redb` verifies its pages after a crash only, so a value that went bad
//! on the disk would otherwise be read as it is.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::error::StoreError;

const CHECKSUM_BYTES: usize = 8;

/// The value with its checksum in front. The key goes into it, so that a value found under another
/// key is not taken for that key's.
pub(crate) fn seal(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(CHECKSUM_BYTES + value.len());
    sealed.extend_from_slice(&checksum(key, value));
    sealed.extend_from_slice(value);
    sealed
}

/// The value without its checksum, which is checked.
pub(crate) fn unseal<'sealed>(
    key: &[u8],
    sealed: &'sealed [u8],
) -> Result<&'sealed [u8], StoreError> {
    let parts = sealed.split_first_chunk::<CHECKSUM_BYTES>();
    match parts {
        Some((stored, value)) if *stored == checksum(key, value) => Ok(value),
        _ => Err(StoreError::Corrupted {
            detail: format!("checksum of a value of {} bytes", sealed.len()),
        }),
    }
}

/// Bytes of the key of one entry.
pub(crate) fn entry_key_bytes(run: u128, index: u64) -> [u8; 24] {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&run.to_be_bytes());
    bytes[16..].copy_from_slice(&index.to_be_bytes());
    bytes
}

fn checksum(key: &[u8], value: &[u8]) -> [u8; CHECKSUM_BYTES] {
    xxh3_64_with_seed(value, xxh3_64(key)).to_be_bytes()
}
