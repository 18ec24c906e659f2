//! Checksums of stored values. `redb` verifies its pages only after a crash, so corruption of a value
//! on the disk would otherwise go unnoticed.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::error::StoreError;

const CHECKSUM_BYTES: usize = 8;

/// Prepends a checksum of key and value. It covers the key, so that a value stored under the wrong
/// key is detected.
pub(crate) fn add_checksum(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut checksummed = Vec::with_capacity(CHECKSUM_BYTES + value.len());
    checksummed.extend_from_slice(&checksum(key, value));
    checksummed.extend_from_slice(value);
    checksummed
}

/// Verifies and removes the checksum.
pub(crate) fn strip_checksum<'checksummed>(
    key: &[u8],
    checksummed: &'checksummed [u8],
) -> Result<&'checksummed [u8], StoreError> {
    let parts = checksummed.split_first_chunk::<CHECKSUM_BYTES>();
    match parts {
        Some((stored, value)) if *stored == checksum(key, value) => Ok(value),
        _ => Err(StoreError::Corrupted {
            detail: format!(
                "checksum mismatch in a value of {} bytes",
                checksummed.len()
            ),
        }),
    }
}

/// Key of an entry as covered by its checksum.
pub(crate) fn entry_key_bytes(run: u128, index: u64) -> [u8; 24] {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&run.to_be_bytes());
    bytes[16..].copy_from_slice(&index.to_be_bytes());
    bytes
}

fn checksum(key: &[u8], value: &[u8]) -> [u8; CHECKSUM_BYTES] {
    xxh3_64_with_seed(value, xxh3_64(key)).to_be_bytes()
}
