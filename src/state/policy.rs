//! The settings tree in the form that decisions use.

use {
    crate::state::{class::Class, id, pipeline::Pipeline, pool::Pool},
    std::collections::BTreeMap,
};

/// One team: its key and its classes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Team {
    pub classes: BTreeMap<id::Class, Class>,
    /// What holds for classes that the tree does not name.
    pub default: Class,
    /// SHA-256 of the team's bearer key, hexadecimal.
    pub key_sha256: Option<String>,
}

/// Every setting that is in force, with inheritance resolved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    pub pipelines: BTreeMap<id::Pipeline, Pipeline>,
    pub pools: BTreeMap<id::Pool, Pool>,
    pub teams: BTreeMap<id::Team, Team>,
    /// Version of the settings tree, 0 before any was applied.
    pub version: u64,
}

impl Policy {
    /// Returns the settings of a team's class, or `None` for an unknown team.
    pub fn class(&self, team: &id::Team, class: &id::Class) -> Option<&Class> {
        let team = self.teams.get(team)?;
        Some(team.classes.get(class).unwrap_or(&team.default))
    }
}
