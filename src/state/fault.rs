//! Invalid values in the settings.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// An invalid value: its field, the value and what was expected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Fault {
    pub field: String,
    pub value: String,
    pub expected: String,
}

impl Fault {
    /// Builds a fault for `key` in the section `path`. The key is empty if the
    /// fault concerns the whole section.
    pub fn new(path: &str, key: &str, value: &str, expected: impl Into<String>) -> Self {
        Self {
            field: format!("[{path}] {key}").trim_end().into(),
            value: value.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{}: {:?}, expected {}",
            self.field, self.value, self.expected
        )
    }
}
