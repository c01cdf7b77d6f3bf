//! Points in the history of the store.

/// A point in the history of the store.
///
/// A store that comes back from a copy of itself gives out numbers again and begins the
/// next era. So numbers can be compared only within an era, and every point of an era
/// is later than all points of the eras before it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Number of the era; it rises with each restore.
    pub era: u32,
    /// Number of the change within the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision from the number of an era and that of a change.
    pub const fn new(era: u32, number: u64) -> Self {
        Self { era, number }
    }
}
