//! A local copy of all objects of one kind in the store.
//!
//! Hosts that the store rejects follow the copy of a peer. Changes with an older
//! revision are ignored, so a copy never returns to an older state, except to that of a
//! store which was itself restored from an earlier copy.

use {
    crate::state::serving::revision::Revision,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, OnceLock},
        time::Duration,
    },
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
    /// Number of the object's last change, within the era of the copy.
    pub revision: u64,
    pub value: Value,
}

/// The objects that changed, as of `revision`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Whether the store has lost changes that this host knew when it asked for the
    /// objects, although it names no new era.
    pub history_lost: bool,
    pub objects: Vec<Object>,
    pub revision: Revision,
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

/// What changes have done to a copy.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Objects have changed, or were listed for the first time.
    Changed,
    /// The changes are older than the copy, or cannot be applied to it.
    Ignored,
    /// The objects are those of a store that was restored from an earlier copy. `known` is
    /// the copy before that.
    Restored { known: Box<Mirror> },
    /// No object has changed.
    Unchanged,
}

impl Outcome {
    /// Returns whether the copy may have other objects than before.
    pub const fn is_change(&self) -> bool {
        matches!(self, Self::Changed | Self::Restored { .. })
    }
}

/// How changes are applied to a copy.
enum Step {
    Ignore,
    /// The first listing, or the first one after a restore.
    Replace,
    Update,
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
    /// Highest revision of a change of an object in this era. For a removal, whose own
    /// revision may be unknown, that of the copy.
    newest_change: u64,
    /// Revision of the last change of an object.
    last_change: Revision,
    /// Revision in this era after which `history` is complete.
    history_start: u64,
    /// The most recent changes, oldest first.
    history: VecDeque<Change>,
    objects: BTreeMap<String, Object>,
    revision: Option<Revision>,
}

impl Mirror {
    /// Returns the revision of the copy, or `None` before the first listing.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the era of the copy, or 0 before the first listing.
    pub fn era(&self) -> u32 {
        self.revision.unwrap_or_default().era
    }

    /// Returns the revision of the last change of an object.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Returns whether the copy has an object with this name and value.
    pub fn has_value_of(&self, object: &Object) -> bool {
        let known = self.objects.get(&object.name);
        known.is_some_and(|known| known.value == object.value)
    }

    /// Returns the highest revision of a change of an object that this copy has seen in
    /// its era, including removals.
    pub fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// Returns the objects, sorted by name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Applies changes. Ignores those that are older than the copy, and those of a new
    /// era until all objects of the era have been listed.
    pub fn apply(&mut self, changes: &Changes) -> Outcome {
        match self.step(changes) {
            Step::Ignore => Outcome::Ignored,
            Step::Replace => self.replace(changes),
            Step::Update if self.update(changes) => Outcome::Changed,
            Step::Update => Outcome::Unchanged,
        }
    }

    fn step(&self, changes: &Changes) -> Step {
        let Some(known) = self.revision else {
            return if changes.whole {
                Step::Replace
            } else {
                Step::Ignore
            };
        };
        let era = changes.revision.era;
        let begins_anew = era > known.era || (era == known.era && changes.history_lost);

        match (begins_anew, changes.whole) {
            (true, true) => Step::Replace,
            (true, false) => Step::Ignore,
            (false, _) if changes.revision < known => Step::Ignore,
            (false, _) => Step::Update,
        }
    }

    /// Replaces all objects. Revisions of the copy so far mean nothing for these.
    fn replace(&mut self, changes: &Changes) -> Outcome {
        let known = std::mem::take(self);
        let number = changes.revision.number;
        let objects = changes.objects.iter().filter(|object| !object.removed);
        self.objects = objects
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        let newest = self.objects.values().map(|object| object.revision).max();
        let mut names = known.objects.keys();
        let removes = names.any(|name| !self.objects.contains_key(name));
        self.newest_change = if removes { number } else { newest.unwrap_or(0) };
        self.history_start = number;
        self.last_change = changes.revision;
        self.revision = Some(changes.revision);

        match known.revision {
            Some(_) => Outcome::Restored {
                known: Box::new(known),
            },
            None => Outcome::Changed,
        }
    }

    /// Applies changes of the copy's own era and returns whether any object changed.
    fn update(&mut self, changes: &Changes) -> bool {
        let number = changes.revision.number;
        self.revision = Some(changes.revision);
        let mut changed = changes.whole && self.remove_missing(changes);

        for object in &changes.objects {
            if self.put(object, number) {
                changed = true;
                let revision = if object.removed {
                    number
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
    /// that missed many versions of a large object receives only the last one, and one
    /// that is in a later era receives none.
    pub fn since(&self, revision: Revision) -> Changes {
        let current = self.revision.unwrap_or_default();
        let is_covered = revision.era == current.era
            && revision.number >= self.history_start
            && revision.number > 0;

        if is_covered || revision.era > current.era {
            let changes = self.history.iter();
            let newest = changes
                .filter(|change| is_covered && change.revision > revision.number)
                .map(|change| (change.name.as_str(), change))
                .collect::<BTreeMap<&str, &Change>>();
            return Changes {
                history_lost: false,
                objects: newest.values().map(|change| self.current(change)).collect(),
                revision: current,
                whole: false,
            };
        }

        Changes {
            history_lost: false,
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
        self.history_start = changes.revision.number;

        if !missing.is_empty() {
            self.newest_change = self.newest_change.max(changes.revision.number);
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
