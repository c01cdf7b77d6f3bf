//! Reports about prompts at their engines, and what they show.

/// How a prompt fared at its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Report {
    /// The request ended before the engine had answered in full, for a reason that
    /// says nothing about the engine.
    Abandoned,
    /// The engine answered in full.
    Ended,
    /// The engine broke off or its response was unusable.
    Failed,
    /// The engine refused because it is full or leaving.
    Full,
    /// The engine crashed before it had answered in full.
    Lost,
    /// The engine sent its first event.
    Started,
    /// The engine could not be reached.
    Unreachable,
}

impl Report {
    /// All reports, for decoding.
    pub const ALL: [Self; 7] = [
        Self::Abandoned,
        Self::Ended,
        Self::Failed,
        Self::Full,
        Self::Lost,
        Self::Started,
        Self::Unreachable,
    ];

    /// Returns the name of the report in messages and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Abandoned => "abandoned",
            Self::Ended => "ended",
            Self::Failed => "failed",
            Self::Full => "full",
            Self::Lost => "lost",
            Self::Started => "started",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What the report about a prompt shows about its parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    Nothing,
    /// The part crashes engines and has to be quarantined.
    Harmful(u64),
    /// A request with the part was answered after its quarantine.
    Harmless(u64),
}
