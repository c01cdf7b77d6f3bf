//! The settings tree in resolved form.

use {
    crate::state::{class::Class, id, pipeline::Pipeline, pool::Pool},
    std::collections::BTreeMap,
};

/// The settings of a team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Team {
    pub classes: BTreeMap<id::Class, Class>,
    /// Settings of classes that the tree does not define.
    pub default: Class,
    /// SHA-256 digest of the team's bearer key in hexadecimal.
    pub key_sha256: Option<String>,
}

/// All settings in force, with inheritance resolved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Policy {
    pub pipelines: BTreeMap<id::Pipeline, Pipeline>,
    pub pools: BTreeMap<id::Pool, Pool>,
    pub teams: BTreeMap<id::Team, Team>,
    /// Version of the settings tree, 0 before the first one is applied.
    pub version: u64,
}

impl Policy {
    /// Returns the settings of a team's class, or `None` for an unknown team.
    pub fn class(&self, team: &id::Team, class: &id::Class) -> Option<&Class> {
        let team = self.teams.get(team)?;
        Some(team.classes.get(class).unwrap_or(&team.default))
    }
}
