//! The object API's objects and their change history.

use {
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// An object at one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Object {
    pub key: String,
    pub value: Value,
    pub version: u64,
}

/// A change of an object. The value is `None` for a deletion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    pub key: String,
    pub value: Option<Value>,
    pub version: u64,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    Absent,
    Version(u64),
}

/// The current version of an object whose write was refused, or 0 if the object
/// does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conflict(pub u64);

/// Changes returned by a watch, and the revision to continue from.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Watch {
    pub events: Vec<Change>,
    pub revision: u64,
}

/// A versioned store of objects with their change history.
#[derive(Debug, Default)]
pub struct Store {
    history: Vec<(Instant, Change)>,
    objects: BTreeMap<String, Object>,
    revision: u64,
}

impl Store {
    /// Returns the object with a key.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns up to `limit` objects whose keys start with a prefix and follow a
    /// key.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<&Object> {
        self.objects
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.key.as_str() > after)
            .take(limit)
            .collect()
    }

    /// Returns the revision of the latest write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes or deletes (`None`) an object and returns the change's version.
    /// Watches never return a change that is not `watched`.
    ///
    /// # Errors
    ///
    /// Returns the current version when the condition does not hold.
    pub fn write(
        &mut self,
        key: &str,
        value: Option<Value>,
        condition: Condition,
        watched: bool,
    ) -> Result<u64, Conflict> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        let expected = match condition {
            Condition::Absent => 0,
            Condition::Version(version) => version,
        };

        if current != expected || (current == 0 && value.is_none()) {
            return Err(Conflict(current));
        }

        self.revision += 1;
        let version = self.revision;

        match value.clone() {
            Some(value) => {
                let key = key.to_string();
                self.objects.insert(
                    key.clone(),
                    Object {
                        key,
                        value,
                        version,
                    },
                );
            }
            None => {
                self.objects.remove(key);
            }
        }

        if watched {
            let change = Change {
                key: key.into(),
                value,
                version,
            };
            self.history.push((Instant::now(), change));
        }

        Ok(version)
    }

    /// Returns the changes after a revision that were made at least `delay` ago.
    pub fn changes(&self, prefix: &str, after: u64, delay: Duration) -> Watch {
        let visible = |(at, _): &&(Instant, Change)| at.elapsed() >= delay;
        let events: Vec<Change> = self
            .history
            .iter()
            .take_while(visible)
            .map(|(_, change)| change)
            .filter(|change| change.version > after && change.key.starts_with(prefix))
            .cloned()
            .collect();
        let revision = match self.history.iter().find(|entry| !visible(entry)) {
            Some((_, hidden)) => hidden.version - 1,
            None => self.revision,
        };

        Watch {
            events,
            revision: revision.max(after),
        }
    }
}
