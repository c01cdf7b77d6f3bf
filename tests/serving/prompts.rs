//! Engines, and prompts for them.

use {
    persimmoncleat::state::serving::{
        balance::{Part, Prompt, Terms},
        cold::Cold,
        piece::JobId,
        roster::Entry,
    },
    std::{sync::Arc, time::Duration},
};

/// Returns the entries of engines with the names `e0`, `e1` and so on.
pub fn engines(count: u16) -> Vec<Arc<Entry>> {
    let entries = (0..count).map(|number| Entry {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold: Cold::default(),
        domain: "a".into(),
        endpoint: format!("e{number}").into(),
        incarnation: 1,
        leaving: false,
        service: "s".into(),
        slots: 64,
    });
    entries.map(Arc::new).collect()
}

/// Returns the id of a prompt.
pub fn id(number: u64) -> JobId {
    JobId {
        home: "h".into(),
        number,
    }
}

/// Returns a prompt with these parts, each of this length, and one of its own.
pub fn prompt(number: u64, parts: &[u64], tokens: u32) -> Prompt {
    let own = 1_000_000 + number;
    let parts = parts.iter().copied().chain([own]);
    let mut prefix = 0;
    Prompt {
        domain: None,
        exclude: Vec::new(),
        fingerprint: number,
        id: id(number),
        parts: parts
            .map(|id| {
                prefix = prefix * 31 + id;
                Part { id, prefix, tokens }
            })
            .collect(),
        service: "s".into(),
        terms: Terms {
            remaining: Duration::from_secs(8),
            ..Terms::default()
        },
    }
}
