//! The keys of the settings tree, with their types, units and defaults.

use {
    crate::state::settings::path::{self, Subtree},
    std::ops::RangeInclusive,
};

/// What the values of a key look like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    Choice(&'static [&'static str]),
    Digest,
    Name,
    Names { max: usize },
    Number { max: u32, min: u32 },
}

/// Where a key may be set: a subtree and the depths of its paths.
#[derive(Debug)]
pub struct Place {
    pub depths: RangeInclusive<usize>,
    pub subtree: Subtree,
}

/// A key of the settings tree.
#[derive(Debug)]
pub struct Key {
    pub default: Option<&'static str>,
    pub form: Form,
    pub name: &'static str,
    pub places: &'static [Place],
    pub unit: &'static str,
}

const MILLIS: Form = Form::Number {
    max: 600_000,
    min: 1,
};

const COUNT: Form = Form::Number {
    max: 1_000_000,
    min: 0,
};

const PIPELINE: Place = place(Subtree::Pipelines, 2, 2);
const PIPELINES: Place = place(Subtree::Pipelines, 1, 2);
const POOLS: Place = place(Subtree::Pools, 1, 2);
const STAGES: Place = place(Subtree::Pipelines, 1, 3);
const TEAM: Place = place(Subtree::Teams, 2, 2);
const TEAMS: Place = place(Subtree::Teams, 1, 3);

/// Most stages of one pipeline.
pub const STAGES_MAX: usize = 8;

/// Every key, sorted by name.
pub static KEYS: &[Key] = &[
    key("concurrency", "requests", COUNT, Some("0"), &[TEAMS]),
    key(
        "concurrency_limit",
        "calls",
        Form::Number { max: 4096, min: 1 },
        Some("8"),
        &[POOLS],
    ),
    key("deadline", "ms", MILLIS, Some("8000"), &[TEAMS, PIPELINES]),
    key(
        "fencing",
        "",
        Form::Choice(&["enforced", "ignored"]),
        Some("ignored"),
        &[POOLS],
    ),
    key(
        "hedge",
        "",
        Form::Choice(&["on", "off"]),
        Some("on"),
        &[POOLS],
    ),
    key("key_sha256", "", Form::Digest, None, &[TEAM]),
    key(
        "kind",
        "",
        Form::Choice(&["engine", "pool", "service"]),
        None,
        &[POOLS],
    ),
    key("model", "", Form::Name, None, &[POOLS]),
    key("pool", "", Form::Name, None, &[STAGES]),
    key(
        "priority",
        "9 most urgent",
        Form::Number { max: 9, min: 0 },
        Some("5"),
        &[TEAMS],
    ),
    key("queue_time", "ms", MILLIS, Some("4000"), &[TEAMS]),
    key("rate", "requests/s", COUNT, Some("0"), &[TEAMS]),
    key(
        "reports_load",
        "",
        Form::Choice(&["yes", "no"]),
        Some("no"),
        &[POOLS],
    ),
    key(
        "share",
        "percent",
        Form::Number { max: 90, min: 0 },
        Some("0"),
        &[TEAMS],
    ),
    key(
        "stages",
        "",
        Form::Names { max: STAGES_MAX },
        None,
        &[PIPELINE],
    ),
    key(
        "weight",
        "",
        Form::Number { max: 1000, min: 1 },
        Some("100"),
        &[TEAMS],
    ),
];

const fn place(subtree: Subtree, from: usize, to: usize) -> Place {
    Place {
        depths: from..=to,
        subtree,
    }
}

const fn key(
    name: &'static str,
    unit: &'static str,
    form: Form,
    default: Option<&'static str>,
    places: &'static [Place],
) -> Key {
    Key {
        default,
        form,
        name,
        places,
        unit,
    }
}

/// Returns the key with this name.
pub fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

/// Returns the known key whose name is most like `name`.
///
/// # Panics
///
/// Never: the list of keys is not empty.
pub fn nearest(name: &str) -> &'static Key {
    KEYS.iter()
        .max_by(|a, b| {
            strsim::jaro_winkler(a.name, name).total_cmp(&strsim::jaro_winkler(b.name, name))
        })
        .expect("there are keys")
}

impl Key {
    /// Whether the key may be set on the node at `path`.
    pub fn allowed_at(&self, path: &str) -> bool {
        path::subtree(path).is_some_and(|subtree| {
            self.places
                .iter()
                .any(|place| place.subtree == subtree && place.depths.contains(&path::depth(path)))
        })
    }

    /// Whether the value is of the key's form.
    pub fn accepts(&self, value: &str) -> bool {
        match self.form {
            Form::Choice(choices) => choices.contains(&value),
            Form::Digest => {
                value.len() == 64
                    && value
                        .bytes()
                        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
            }
            Form::Name => path::is_name(value),
            Form::Names { max } => {
                let mut names = names(value).collect::<Vec<&str>>();
                let count = names.len();
                let valid = names.iter().all(|name| path::is_name(name));
                names.sort_unstable();
                names.dedup();
                valid && names.len() == count && (1..=max).contains(&count)
            }
            Form::Number { max, min } => value
                .parse::<u32>()
                .is_ok_and(|number| (min..=max).contains(&number)),
        }
    }

    /// Describes the values that the key allows.
    pub fn expected(&self) -> String {
        let form = match self.form {
            Form::Choice(choices) => format!("one of {}", choices.join(", ")),
            Form::Digest => "64 hexadecimal digits in lower case".into(),
            Form::Name => "a name of letters, digits, '-', '_' and '.'".into(),
            Form::Names { max } => format!("1 to {max} different names, separated by commas"),
            Form::Number { max, min } => format!("a whole number from {min} to {max}"),
        };

        if self.unit.is_empty() {
            form
        } else {
            format!("{form} ({})", self.unit)
        }
    }

    /// Lists the paths on which the key may be set.
    pub fn paths(&self) -> String {
        let paths = self.places.iter().flat_map(|place| {
            let names = match place.subtree {
                Subtree::Pipelines => &[
                    "pipelines",
                    "pipelines/PIPELINE",
                    "pipelines/PIPELINE/STAGE",
                ][..],
                Subtree::Pools => &["pools", "pools/POOL"],
                Subtree::Teams => &["teams", "teams/TEAM", "teams/TEAM/CLASS"],
            };
            place.depths.clone().map(|depth| names[depth - 1])
        });
        paths.collect::<Vec<_>>().join(", ")
    }
}

/// Splits the value of a key that lists names.
pub fn names(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim)
}
