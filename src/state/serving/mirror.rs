//! A local copy of all objects of one kind in the store.
//!
//! Hosts that the store rejects follow the copy of a peer. Changes with an older
//! revision are ignored, so a copy never returns to an older state.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, OnceLock},
    time::Duration,
};

/// Maximum number of changes kept for peers that follow this copy. Their values
/// are those of the objects, so that large objects that change often take no
/// further memory.
const MAX_HISTORY: usize = 1024;

/// The value of an object. Its copies share the bytes, since a reader of the store
/// sends a large value to many hosts.
#[derive(Clone, Debug, Default)]
pub struct Value(Arc<Content>);

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    /// The form in which the value is sent, once it was needed.
    packed: OnceLock<Vec<u8>>,
}

impl Value {
    /// Returns the bytes of the value.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0.bytes
    }

    /// Returns the packed form. `pack` computes it if no copy has it yet.
    pub fn packed(&self, pack: impl FnOnce(&[u8]) -> Vec<u8>) -> &[u8] {
        self.0.packed.get_or_init(|| pack(&self.0.bytes))
    }
}

impl From<Vec<u8>> for Value {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Content {
            bytes,
            packed: OnceLock::new(),
        }))
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.as_bytes() == other.as_bytes()
    }
}

impl Eq for Value {}

/// An object, or the removal of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    pub name: String,
    pub removed: bool,
    pub revision: u64,
    pub value: Value,
}

/// The objects that changed, as of `revision`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Number of times that the store has been restored from an earlier copy of itself.
    pub era: u32,
    pub objects: Vec<Object>,
    pub revision: u64,
    /// Whether `objects` lists every object of the kind.
    pub whole: bool,
}

/// Changes relayed by another host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayedChanges {
    /// Time since the store last confirmed the revision.
    pub age: Duration,
    pub changes: Changes,
}

/// A change of an object, without its value.
#[derive(Clone, Debug)]
struct Change {
    name: String,
    removed: bool,
    revision: u64,
}

/// A copy of the objects of one kind.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Highest revision of a change of an object. For a removal, whose own revision may
    /// be unknown, that of the copy.
    newest_change: u64,
    /// Revision of the last change of an object.
    last_change: u64,
    /// Revision after which `history` is complete.
    history_start: u64,
    /// The most recent changes, oldest first.
    history: VecDeque<Change>,
    objects: BTreeMap<String, Object>,
    revision: Option<u64>,
}

impl Mirror {
    /// Returns the revision of the copy, or `None` before the first listing.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the revision of the last change of an object.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the highest revision of a change of an object that this copy has seen,
    /// including removals.
    pub fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// Returns the objects, sorted by name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Applies changes and returns whether any object changed. Also returns true
    /// for the first listing, even if it is empty. Ignores changes that are
    /// older than the copy.
    pub fn apply(&mut self, changes: &Changes) -> bool {
        if self
            .revision
            .is_some_and(|current| changes.revision < current)
        {
            return false;
        }

        if self.revision.is_none() && !changes.whole {
            return false;
        }

        let mut changed = self.revision.is_none();
        self.revision = Some(changes.revision);

        if changes.whole {
            changed |= self.remove_missing(changes);
        }

        for object in &changes.objects {
            if self.put(object, changes.revision) {
                changed = true;
                let revision = if object.removed {
                    changes.revision
                } else {
                    object.revision
                };
                self.newest_change = self.newest_change.max(revision);
            }
        }

        if changed {
            self.last_change = changes.revision;
        }

        changed
    }

    /// Returns the objects that changed after a revision, each in its current
    /// state, or all objects if the history does not reach back that far. A peer
    /// that missed many versions of a large object receives only the last one.
    pub fn since(&self, revision: u64) -> Changes {
        let current = self.revision.unwrap_or(0);

        if revision >= self.history_start && revision > 0 {
            let changes = self.history.iter();
            let newest = changes
                .filter(|change| change.revision > revision)
                .map(|change| (change.name.as_str(), change))
                .collect::<BTreeMap<&str, &Change>>();
            return Changes {
                era: 0,
                objects: newest.values().map(|change| self.current(change)).collect(),
                revision: current,
                whole: false,
            };
        }

        Changes {
            era: 0,
            objects: self.objects.values().cloned().collect(),
            revision: current,
            whole: self.revision.is_some(),
        }
    }

    /// Returns the state of an object after its last change.
    fn current(&self, change: &Change) -> Object {
        let removed = || Object {
            name: change.name.clone(),
            removed: change.removed,
            revision: change.revision,
            value: Value::default(),
        };
        self.objects
            .get(&change.name)
            .cloned()
            .unwrap_or_else(removed)
    }

    /// Removes the objects that a complete listing does not contain.
    fn remove_missing(&mut self, changes: &Changes) -> bool {
        let missing = self
            .objects
            .keys()
            .filter(|name| !changes.objects.iter().any(|object| object.name == **name))
            .cloned()
            .collect::<Vec<String>>();

        for name in &missing {
            self.objects.remove(name);
        }

        // The revision of a removal that was not observed is unknown, so the
        // history is cleared.
        self.history.clear();
        self.history_start = changes.revision;

        if !missing.is_empty() {
            self.newest_change = self.newest_change.max(changes.revision);
        }

        !missing.is_empty()
    }

    /// Applies the change of one object and returns whether the copy changed.
    fn put(&mut self, object: &Object, copy_revision: u64) -> bool {
        let existing = self.objects.get(&object.name);

        // A removal may have the same revision as the object's last change.
        if existing.is_some_and(|existing| {
            existing.revision > object.revision
                || (existing.revision == object.revision && !object.removed)
        }) {
            return false;
        }

        if object.removed {
            let Some(existing) = self.objects.remove(&object.name) else {
                return false;
            };

            if existing.revision == object.revision {
                // The revision of the removal itself is unknown, so the
                // history is cleared.
                self.history.clear();
                self.history_start = copy_revision;
                return true;
            }
        } else {
            self.objects.insert(object.name.clone(), object.clone());
        }

        self.history.push_back(Change {
            name: object.name.clone(),
            removed: object.removed,
            revision: object.revision,
        });

        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_start = oldest.revision;
        }

        true
    }
}
