//! Paths of nodes in the settings tree: `teams/TEAM/CLASS`,
//! `pipelines/PIPELINE/STAGE` and `pools/POOL`.

use std::iter;

/// Maximum length of one name in a path, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Syntax of valid paths, for error messages.
pub const PATH_SYNTAX: &str = "teams[/TEAM[/CLASS]], pipelines[/PIPELINE[/STAGE]] or pools[/POOL]";

/// Top-level subtree of the settings tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subtree {
    Pipelines,
    Pools,
    Teams,
}

impl Subtree {
    /// Returns the name of the subtree, which is the path of its root.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pipelines => "pipelines",
            Self::Pools => "pools",
            Self::Teams => "teams",
        }
    }

    const fn depth(self) -> usize {
        match self {
            Self::Pipelines | Self::Teams => 3,
            Self::Pools => 2,
        }
    }

    fn find(name: &str) -> Option<Self> {
        [Self::Pipelines, Self::Pools, Self::Teams]
            .into_iter()
            .find(|subtree| subtree.name() == name)
    }
}

/// Returns the subtree that a path belongs to, or `None` if the path is not
/// valid.
pub fn subtree(path: &str) -> Option<Subtree> {
    let mut names = path.split('/');
    let subtree = Subtree::find(names.next()?)?;
    (depth(path) <= subtree.depth() && names.all(is_name)).then_some(subtree)
}

/// Returns the number of names in a path.
pub fn depth(path: &str) -> usize {
    path.split('/').count()
}

/// Returns the path itself and its ancestors, nearest first.
pub fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    iter::successors(Some(path), |path| path.rsplit_once('/').map(|(up, _)| up))
}

/// Returns whether the text is a valid name in a path.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
