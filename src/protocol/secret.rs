//! Keys that must not appear in a log.

use std::fmt;

/// Minimum length of a key, in bytes.
pub const MIN_BYTES: usize = 16;

/// A key whose `Debug` output hides its bytes.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Builds a secret from the text of a key file, without the surrounding
    /// white space. Returns `None` if fewer than [`MIN_BYTES`] bytes are left.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let text = text.trim_ascii();
        (text.len() >= MIN_BYTES).then(|| Self(text.into()))
    }

    /// Returns the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
