//! The settings of one pipeline.

use {crate::state::id, std::time::Duration};

/// One stage of a pipeline and the pool that serves it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    pub name: id::Stage,
    pub pool: id::Pool,
}

/// A pipeline: its stages in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pipeline {
    /// Set only where the settings tree sets it for this pipeline; the class's
    /// deadline holds otherwise.
    pub deadline: Option<Duration>,
    pub stages: Vec<Stage>,
}
