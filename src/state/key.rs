//! The keys of the settings tree, with their types, units and defaults.

use {
    crate::state::settings::path::{self, Subtree},
    std::ops::RangeInclusive,
};

/// The type of a key's value. A `Digest` is SHA-256 in lowercase hexadecimal;
/// `Names` is a list of 1 to `max` distinct names, separated by commas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueType {
    Choice(&'static [&'static str]),
    Digest,
    Name,
    Names { max: usize },
    Number { max: u32, min: u32 },
}

/// Paths at which a key may be set: a subtree and the allowed path depths.
#[derive(Debug)]
pub struct Scope {
    pub depths: RangeInclusive<usize>,
    pub subtree: Subtree,
}

/// Definition of a key of the settings tree.
#[derive(Debug)]
pub struct Key {
    pub default: Option<&'static str>,
    pub value_type: ValueType,
    pub name: &'static str,
    pub scopes: &'static [Scope],
    pub unit: &'static str,
}

const MILLIS: ValueType = ValueType::Number {
    max: 600_000,
    min: 1,
};

const COUNT: ValueType = ValueType::Number {
    max: 1_000_000,
    min: 0,
};

const PIPELINE: Scope = scope(Subtree::Pipelines, 2, 2);
const PIPELINES: Scope = scope(Subtree::Pipelines, 1, 2);
const POOLS: Scope = scope(Subtree::Pools, 1, 2);
const STAGES: Scope = scope(Subtree::Pipelines, 1, 3);
const TEAM: Scope = scope(Subtree::Teams, 2, 2);
const TEAMS: Scope = scope(Subtree::Teams, 1, 3);

/// Maximum number of stages of a pipeline.
pub const STAGES_MAX: usize = 8;

/// All keys, sorted by name.
pub static KEYS: &[Key] = &[
    key("concurrency", "requests", COUNT, Some("0"), &[TEAMS]),
    key(
        "concurrency_limit",
        "calls",
        ValueType::Number { max: 4096, min: 1 },
        Some("8"),
        &[POOLS],
    ),
    key("deadline", "ms", MILLIS, Some("8000"), &[TEAMS, PIPELINES]),
    key(
        "fencing",
        "",
        ValueType::Choice(&["enforced", "ignored"]),
        Some("ignored"),
        &[POOLS],
    ),
    key(
        "hedge",
        "",
        ValueType::Choice(&["on", "off"]),
        Some("on"),
        &[POOLS],
    ),
    key("key_sha256", "", ValueType::Digest, None, &[TEAM]),
    key(
        "kind",
        "",
        ValueType::Choice(&["engine", "pool", "service"]),
        None,
        &[POOLS],
    ),
    key("model", "", ValueType::Name, None, &[POOLS]),
    key("pool", "", ValueType::Name, None, &[STAGES]),
    key(
        "priority",
        "9 most urgent",
        ValueType::Number { max: 9, min: 0 },
        Some("5"),
        &[TEAMS],
    ),
    key("queue_time", "ms", MILLIS, Some("4000"), &[TEAMS]),
    key("rate", "requests/s", COUNT, Some("0"), &[TEAMS]),
    key(
        "reports_load",
        "",
        ValueType::Choice(&["yes", "no"]),
        Some("no"),
        &[POOLS],
    ),
    key(
        "share",
        "percent",
        ValueType::Number { max: 90, min: 0 },
        Some("0"),
        &[TEAMS],
    ),
    key(
        "stages",
        "",
        ValueType::Names { max: STAGES_MAX },
        None,
        &[PIPELINE],
    ),
    key(
        "weight",
        "",
        ValueType::Number { max: 1000, min: 1 },
        Some("100"),
        &[TEAMS],
    ),
];

const fn scope(subtree: Subtree, from: usize, to: usize) -> Scope {
    Scope {
        depths: from..=to,
        subtree,
    }
}

const fn key(
    name: &'static str,
    unit: &'static str,
    value_type: ValueType,
    default: Option<&'static str>,
    scopes: &'static [Scope],
) -> Key {
    Key {
        default,
        value_type,
        name,
        scopes,
        unit,
    }
}

/// Returns the key with this name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

/// Returns the key whose name is most similar to `name`.
pub fn nearest(name: &str) -> &'static Key {
    KEYS.iter()
        .max_by(|a, b| {
            strsim::jaro_winkler(a.name, name).total_cmp(&strsim::jaro_winkler(b.name, name))
        })
        .expect("`KEYS` should not be empty")
}

impl Key {
    /// Returns whether the key may be set on the node at `path`.
    pub fn allowed_at(&self, path: &str) -> bool {
        path::subtree(path).is_some_and(|subtree| {
            self.scopes
                .iter()
                .any(|scope| scope.subtree == subtree && scope.depths.contains(&path::depth(path)))
        })
    }

    /// Returns whether the value is valid for the key.
    pub fn accepts(&self, value: &str) -> bool {
        match self.value_type {
            ValueType::Choice(choices) => choices.contains(&value),
            ValueType::Digest => {
                value.len() == 64
                    && value
                        .bytes()
                        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
            }
            ValueType::Name => path::is_name(value),
            ValueType::Names { max } => {
                let mut names = names(value).collect::<Vec<&str>>();
                let count = names.len();
                let valid = names.iter().all(|name| path::is_name(name));
                names.sort_unstable();
                names.dedup();
                valid && names.len() == count && (1..=max).contains(&count)
            }
            ValueType::Number { max, min } => value
                .parse::<u32>()
                .is_ok_and(|number| (min..=max).contains(&number)),
        }
    }

    /// Describes the valid values of the key, with their unit.
    pub fn expected(&self) -> String {
        let values = match self.value_type {
            ValueType::Choice(choices) => format!("one of {}", choices.join(", ")),
            ValueType::Digest => "64 hexadecimal digits in lower case".into(),
            ValueType::Name => "a name of letters, digits, '-', '_' and '.'".into(),
            ValueType::Names { max } => format!("1 to {max} different names, separated by commas"),
            ValueType::Number { max, min } => format!("a whole number from {min} to {max}"),
        };

        if self.unit.is_empty() {
            values
        } else {
            format!("{values} ({})", self.unit)
        }
    }

    /// Lists the paths at which the key may be set, separated by commas.
    pub fn paths(&self) -> String {
        let paths = self.scopes.iter().flat_map(|scope| {
            let names = match scope.subtree {
                Subtree::Pipelines => &[
                    "pipelines",
                    "pipelines/PIPELINE",
                    "pipelines/PIPELINE/STAGE",
                ][..],
                Subtree::Pools => &["pools", "pools/POOL"],
                Subtree::Teams => &["teams", "teams/TEAM", "teams/TEAM/CLASS"],
            };
            scope.depths.clone().map(|depth| names[depth - 1])
        });
        paths.collect::<Vec<_>>().join(", ")
    }
}

/// Splits a comma-separated list of names.
pub fn names(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim)
}
