//! The settings of one pipeline.

use {crate::state::id, std::time::Duration};

/// A stage of a pipeline and the pool that serves it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    pub name: id::Stage,
    pub pool: id::Pool,
}

/// A pipeline with its stages in order of execution.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pipeline {
    /// Set only if the settings tree has a deadline for this pipeline; otherwise
    /// the class's deadline applies.
    pub deadline: Option<Duration>,
    pub stages: Vec<Stage>,
}
