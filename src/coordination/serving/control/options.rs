//! The settings of the control thread.

use {
    crate::{protocol::adapter::Kind, state::serving::cold},
    std::time::Duration,
};

/// The settings of the control thread.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The bound on requests to cold endpoints, if they are limited.
    pub cold: Option<cold::Bounds>,
    /// Whether evacuations are followed.
    pub follow_evacuations: bool,
    /// Time for which a watch waits in a fleet in which every host reads the
    /// store.
    pub watch_wait: Duration,
}

impl Options {
    /// Returns the kinds of objects that this host follows.
    pub(super) fn kinds(&self) -> impl Iterator<Item = Kind> {
        let follow_evacuations = self.follow_evacuations;
        let kinds = Kind::ALL.into_iter();
        kinds.filter(move |kind| *kind != Kind::Evacuations || follow_evacuations)
    }
}
