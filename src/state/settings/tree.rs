//! Settings tree, whose nodes inherit the values of their ancestors.

use {
    crate::state::{key, settings::edit::Edit, settings::path},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Source of a value that no node sets.
pub const DEFAULT: &str = "default";

type Node = BTreeMap<String, String>;

/// Values that are set, by path and key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Tree {
    nodes: BTreeMap<String, Node>,
}

/// Value and the path of the node that sets it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resolved<'a> {
    pub source: &'a str,
    pub value: &'a str,
}

/// Effective value of one key on a node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    pub path: String,
    pub key: String,
    pub value: String,
    /// Path of the node that sets the value, or `default`.
    pub source: String,
}

impl Tree {
    /// Returns the value that the node itself sets.
    pub fn get(&self, path: &str, key: &str) -> Option<&str> {
        self.nodes.get(path)?.get(key).map(String::as_str)
    }

    /// Sets or unsets a value on a node.
    pub fn set(&mut self, path: &str, key: &str, value: Option<&str>) {
        if let Some(value) = value {
            self.nodes
                .entry(path.into())
                .or_default()
                .insert(key.into(), value.into());
        } else if let Some(node) = self.nodes.get_mut(path) {
            node.remove(key);

            if node.is_empty() {
                self.nodes.remove(path);
            }
        }
    }

    /// Applies the edits of a change.
    pub fn apply(&mut self, edits: &[Edit]) {
        for edit in edits {
            self.set(&edit.path, &edit.key, edit.new.as_deref());
        }
    }

    /// Returns the effective value on a node and the nearest path that sets it.
    pub fn resolve<'a>(&'a self, path: &'a str, key: &str) -> Option<Resolved<'a>> {
        path::ancestors(path).find_map(|source| {
            self.get(source, key)
                .map(|value| Resolved { source, value })
        })
    }

    /// Returns all values that are set, as path, key and value.
    pub fn values(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        self.nodes.iter().flat_map(|(path, node)| {
            node.iter()
                .map(move |(key, value)| (path.as_str(), key.as_str(), value.as_str()))
        })
    }

    /// Returns the names directly below a path.
    pub fn children<'a>(&'a self, path: &str) -> BTreeSet<&'a str> {
        self.below(path)
            .filter_map(|below| below.get(path.len() + 1..)?.split('/').next())
            .collect()
    }

    /// Returns the effective values on the node at `path`, including inherited
    /// values and defaults, followed by the values set on the nodes below it.
    /// An empty path selects the whole tree.
    pub fn rows(&self, path: &str) -> Vec<Row> {
        let mut rows = self.effective_rows(path);
        rows.extend(
            self.values()
                .filter(|(below, ..)| path.is_empty() || is_below(below, path))
                .map(|(path, key, value)| row(path, key, value, path)),
        );
        rows
    }

    /// Returns the edits that turn this tree into `target`.
    pub fn difference(&self, target: &Self) -> Vec<Edit> {
        let keys = self
            .values()
            .chain(target.values())
            .map(|(path, key, _)| (path, key))
            .collect::<BTreeSet<_>>();

        keys.into_iter()
            .map(|(path, key)| Edit {
                path: path.into(),
                key: key.into(),
                old: self.get(path, key).map(Into::into),
                new: target.get(path, key).map(Into::into),
            })
            .filter(|edit| edit.old != edit.new)
            .collect()
    }

    fn effective_rows(&self, path: &str) -> Vec<Row> {
        key::KEYS
            .iter()
            .filter(|key| key.allowed_at(path))
            .filter_map(|key| {
                let resolved = self.resolve(path, key.name).or_else(|| {
                    key.default.map(|value| Resolved {
                        source: DEFAULT,
                        value,
                    })
                })?;
                Some(row(path, key.name, resolved.value, resolved.source))
            })
            .collect()
    }

    fn below<'a, 'b>(&'a self, path: &'b str) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
        self.nodes
            .range(path.to_owned()..)
            .map(|(below, _)| below.as_str())
            .take_while(move |below| below.starts_with(path))
            .filter(move |below| is_below(below, path))
    }
}

fn is_below(below: &str, path: &str) -> bool {
    below
        .strip_prefix(path)
        .is_some_and(|rest| rest.starts_with('/'))
}

fn row(path: &str, key: &str, value: &str, source: &str) -> Row {
    Row {
        path: path.into(),
        key: key.into(),
        value: value.into(),
        source: source.into(),
    }
}
