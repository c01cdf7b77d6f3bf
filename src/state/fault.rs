//! What is wrong with a value in the settings.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One wrong value: where it is, what it is and what was expected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Fault {
    pub field: String,
    pub value: String,
    pub expected: String,
}

impl Fault {
    /// Builds a fault of a key on a node.
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
