//! Values as bytes, in rkyv's format: for the links between nodes and the records of the store.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// A value as bytes.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    rkyv::to_bytes::<Error>(value)
        .expect("messages and records hold no type whose serialization can fail")
        .to_vec()
}

/// A value from the bytes that [`encode`] made of it, `None` when they are malformed.
pub fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: Archive,
    T::Archived:
        for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    // Bytes from a socket or a page of the store begin anywhere; an archive must begin at a multiple of 16.
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).ok()
}
