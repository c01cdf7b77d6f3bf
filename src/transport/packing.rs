//! Compresses large values that hosts send each other.
//!
//! A configuration of half a megabyte takes 0.4 s over a link of 10 Mbit/s, and a
//! reader of the store sends it to a quarter of the fleet. It is text that repeats
//! its field names, so the fastest level of DEFLATE saves most of that.

use {
    crate::state::serving::mirror::{Changes, Value},
    miniz_oxide::{
        deflate::compress_to_vec,
        inflate::{DecompressError, decompress_to_vec_with_limit},
    },
};

/// Size from which a value is packed, in bytes. Smaller ones fit into a few packets.
const MIN_BYTES: usize = 4096;

/// Maximum size of a value that is unpacked, in bytes: many times what the store
/// accepts. It bounds the memory that a short message can take.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Level of compression: the fastest.
const LEVEL: u8 = 1;

/// Returns the packed form of a value, or `None` if the value is small. It is
/// computed once for all copies of the value.
pub fn pack(value: &Value) -> Option<&[u8]> {
    (value.as_bytes().len() >= MIN_BYTES)
        .then(|| value.packed(|bytes| compress_to_vec(bytes, LEVEL)))
}

/// Packs the large values of changes before they are sent.
pub fn prepare(changes: &Changes) {
    for object in &changes.objects {
        pack(&object.value);
    }
}

/// Returns the value of which `bytes` is the packed form, and keeps that form: a host
/// that sends the value on does not pack it again.
///
/// # Errors
///
/// Returns an error for bytes that no value was packed to, and for a value that is
/// too large.
pub fn unpack(bytes: &[u8]) -> Result<Value, DecompressError> {
    let value = Value::from(decompress_to_vec_with_limit(bytes, MAX_BYTES)?);
    value.packed(|_| bytes.to_vec());
    Ok(value)
}
