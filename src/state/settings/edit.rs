//! Edits of single keys in the settings tree.

use serde::{Deserialize, Serialize};

/// Edit in the log of changes. A value of `None` means that the key is not set.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    pub path: String,
    pub key: String,
    pub old: Option<String>,
    pub new: Option<String>,
}

/// Edit as submitted by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DraftEdit {
    pub path: String,
    pub key: String,
    /// Value that the edit expects to replace: left out if any value may be
    /// replaced, null if the key is expected to be unset.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "serde_with::rust::double_option"
    )]
    pub old: Option<Option<String>>,
    /// Value to set, or null to unset the key.
    pub new: Option<String>,
}
