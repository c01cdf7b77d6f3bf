//! Hexadecimal encoding of bytes.

use std::fmt::Write;

/// Returns the bytes as lower-case hexadecimal digits.
pub fn encode(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Decodes pairs of hexadecimal digits. Returns `None` for any other text.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text
        .chars()
        .map(|digit| u8::try_from(digit.to_digit(16)?).ok())
        .collect::<Option<Vec<u8>>>()?;

    digits
        .chunks(2)
        .map(|pair| match pair {
            [high, low] => Some(high << 4 | low),
            _ => None,
        })
        .collect()
}
