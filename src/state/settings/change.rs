//! Changes to the settings tree: drafts, their outcome and log entries.

use {
    crate::state::{
        fault::Fault,
        settings::edit::{DraftEdit, Edit},
        settings::tree::Tree,
    },
    serde::{Deserialize, Serialize},
};

/// Change in the log. Its version is that of the tree after the change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    pub version: u64,
    /// Operation id from the operator's tool, by which a repeated submission is
    /// matched to its change.
    pub operation: String,
    pub author: String,
    pub edits: Vec<Edit>,
}

/// Change as submitted by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Draft {
    pub operation: String,
    pub author: String,
    pub edits: Vec<DraftEdit>,
}

/// Conflict with a change by another operator to the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Conflict {
    pub path: String,
    pub key: String,
    pub yours: Option<String>,
    pub theirs: Option<String>,
    /// Version of the tree that contains `theirs`.
    pub version: u64,
}

/// Outcome of a submitted draft.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change is in the log.
    Accepted {
        version: u64,
    },
    Conflict(Conflict),
    Invalid(Vec<Fault>),
    /// The change is not in the log, and this host will not add it.
    NotRun,
    /// The change may be in the log. Submitting the same operation again
    /// returns its actual outcome.
    Unknown,
}

impl Draft {
    /// Resolves the draft into edits of `tree`, whose version is `version`.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report if the draft is not valid, or if a key no
    /// longer has the value that the operator expected to replace.
    pub fn edits(&self, version: u64, tree: &Tree) -> Result<Vec<Edit>, Outcome> {
        for edit in &self.edits {
            let theirs = tree.get(&edit.path, &edit.key);

            if let Some(expected) = &edit.old
                && expected.as_deref() != theirs
            {
                return Err(Outcome::Conflict(Conflict {
                    path: edit.path.clone(),
                    key: edit.key.clone(),
                    yours: edit.new.clone(),
                    theirs: theirs.map(Into::into),
                    version,
                }));
            }
        }

        let faults = tree.check_draft(self);

        if !faults.is_empty() {
            return Err(Outcome::Invalid(faults));
        }

        Ok(self
            .edits
            .iter()
            .map(|edit| Edit {
                path: edit.path.clone(),
                key: edit.key.clone(),
                old: tree.get(&edit.path, &edit.key).map(Into::into),
                new: edit.new.clone(),
            })
            .collect())
    }
}

impl Change {
    /// Returns the approximate size of the change as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        let length = |value: &Option<String>| value.as_ref().map_or(0, String::len);
        let edits = self.edits.iter().map(|edit| {
            edit.path.len() + edit.key.len() + length(&edit.old) + length(&edit.new) + 48
        });
        edits.sum::<usize>() + self.operation.len() + self.author.len() + 64
    }

    /// Returns a conflict for the first edit whose key one of `others` edits as
    /// well. `tree`, whose version is `version`, includes `others`.
    pub fn conflict<'a>(
        &self,
        others: impl Iterator<Item = &'a Self> + Clone,
        version: u64,
        tree: &Tree,
    ) -> Option<Conflict> {
        let same = |a: &Edit, b: &Edit| a.path == b.path && a.key == b.key;
        let edit = self.edits.iter().find(|edit| {
            others
                .clone()
                .flat_map(|other| &other.edits)
                .any(|other| same(edit, other))
        })?;

        Some(Conflict {
            path: edit.path.clone(),
            key: edit.key.clone(),
            yours: edit.new.clone(),
            theirs: tree.get(&edit.path, &edit.key).map(Into::into),
            version,
        })
    }
}
