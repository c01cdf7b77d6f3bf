//! Changes of the settings tree, from an operator's draft to the log.

use {
    crate::state::{
        fault::Fault,
        settings::edit::{DraftEdit, Edit},
        settings::tree::Tree,
    },
    serde::{Deserialize, Serialize},
};

/// A change in the log. Its version is the version of the tree it results in.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    pub version: u64,
    /// Chosen by the operator's tool; a repeated submission finds the change by
    /// it.
    pub operation: String,
    pub author: String,
    pub edits: Vec<Edit>,
}

/// A change as an operator submits it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Draft {
    pub operation: String,
    pub author: String,
    pub edits: Vec<DraftEdit>,
}

/// Two operators edited the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Conflict {
    pub path: String,
    pub key: String,
    pub yours: Option<String>,
    pub theirs: Option<String>,
    /// Version of the tree that holds the other value.
    pub version: u64,
}

/// What became of a submitted draft.
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
    /// The change is not in the log and this host will not put it there.
    NotRun,
    /// The change may be in the log; submitting the same operation again tells.
    Unknown,
}

impl Draft {
    /// Turns the draft into edits of `tree`, which has this version.
    ///
    /// # Errors
    ///
    /// Fails with the outcome to report when the draft is not valid, or when a
    /// key no longer has the value that the operator saw.
    pub fn edits(&self, version: u64, tree: &Tree) -> Result<Vec<Edit>, Outcome> {
        for edit in &self.edits {
            let theirs = tree.get(&edit.path, &edit.key);

            if let Some(seen) = &edit.old
                && seen.as_deref() != theirs
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
    /// Returns about how many bytes the change takes as JSON.
    pub fn bytes(&self) -> usize {
        let length = |value: &Option<String>| value.as_ref().map_or(0, String::len);
        let edits = self.edits.iter().map(|edit| {
            edit.path.len() + edit.key.len() + length(&edit.old) + length(&edit.new) + 48
        });
        edits.sum::<usize>() + self.operation.len() + self.author.len() + 64
    }

    /// Returns the first edit whose key one of the other changes sets as well;
    /// they lead to `tree`, which has this version.
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
