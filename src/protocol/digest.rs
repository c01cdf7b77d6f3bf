//! SHA-256 digests and their comparison in constant time.

use {
    crate::protocol::hex,
    hmac::digest::CtOutput,
    sha2::{Digest, Sha256},
};

/// Length of a digest, in bytes.
pub const BYTES: usize = 32;

/// Returns the digest of some bytes.
pub fn sha256(bytes: &[u8]) -> [u8; BYTES] {
    Sha256::digest(bytes).into()
}

/// Returns the digest of some bytes as lower-case hexadecimal digits.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(&sha256(bytes))
}

/// Compares two digests in constant time.
pub fn equal(left: &[u8; BYTES], right: &[u8; BYTES]) -> bool {
    CtOutput::<Sha256>::new((*left).into()) == CtOutput::new((*right).into())
}

/// Returns whether a key has a digest, given as hexadecimal digits. The
/// comparison takes constant time.
pub fn matches(key: &str, sha256_hex: &str) -> bool {
    hex::decode(sha256_hex)
        .and_then(|bytes| <[u8; BYTES]>::try_from(bytes).ok())
        .is_some_and(|expected| equal(&sha256(key.as_bytes()), &expected))
}
