//! One edit of the settings tree.

use serde::{Deserialize, Serialize};

/// An edit as the log of changes holds it; no value means that the key is not
/// set.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Edit {
    pub path: String,
    pub key: String,
    pub old: Option<String>,
    pub new: Option<String>,
}

/// An edit as an operator submits it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DraftEdit {
    pub path: String,
    pub key: String,
    /// The value that the operator saw: left out when any value may be
    /// replaced, null when the key was not set.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "serde_with::rust::double_option"
    )]
    pub old: Option<Option<String>>,
    /// The value to set, or null to unset the key.
    pub new: Option<String>,
}
