//! Model of the object API that stores the settings.

use {
    crate::state::{
        replay::settings_violation::Violation,
        settings::change::Change,
        settings::proposal::Creation,
        settings::replica_event::Event,
        settings::snapshot::{Floor, Snapshot},
        settings::tree::Tree,
    },
    std::collections::{BTreeMap, btree_map::Entry},
};

/// Objects in the store, and the history of accepted changes for the checks.
#[derive(Clone, Debug)]
pub struct Store {
    events: Vec<Change>,
    floor: Floor,
    /// Accepted changes, from the first.
    history: Vec<Change>,
    kept_changes: usize,
    objects: BTreeMap<u64, Change>,
    snapshot: Option<Snapshot>,
    /// Tree after each accepted change, starting with the empty tree.
    trees: Vec<Tree>,
}

impl Store {
    /// Builds an empty store.
    pub fn new(kept_changes: usize) -> Self {
        Self {
            events: Vec::new(),
            floor: Floor::default(),
            history: Vec::new(),
            kept_changes,
            objects: BTreeMap::new(),
            snapshot: None,
            trees: vec![Tree::default()],
        }
    }

    /// Returns the version of the latest accepted change.
    pub fn version(&self) -> u64 {
        self.history.len() as u64
    }

    /// Returns the tree after the change that was accepted with this version.
    pub fn tree(&self, version: u64) -> Option<&Tree> {
        self.trees.get(usize::try_from(version).ok()?)
    }

    /// Returns the change that was accepted with this version.
    pub fn change(&self, version: u64) -> Option<&Change> {
        self.history
            .get(usize::try_from(version).ok()?.checked_sub(1)?)
    }

    /// Returns whether a change with this operation id was accepted.
    pub fn has(&self, operation: &str) -> bool {
        self.history
            .iter()
            .any(|change| change.operation == operation)
    }

    /// Creates a change unless one with its version exists. `base` is the
    /// version on which its host first based it.
    ///
    /// # Errors
    ///
    /// Returns the rule that the change violates.
    pub fn create(&mut self, change: &Change, base: u64) -> Result<Event, Violation> {
        if let Entry::Vacant(entry) = self.objects.entry(change.version) {
            entry.insert(change.clone());
            self.events.push(change.clone());
            self.accept(change, base)?;
        }

        Ok(Event::Created {
            creation: Creation::Answered,
            operation: change.operation.clone(),
        })
    }

    /// Lists the changes after a version.
    pub fn list(&self, after: u64) -> Event {
        Event::Listed {
            changes: self
                .objects
                .range(after + 1..)
                .map(|(_, change)| change.clone())
                .collect(),
            floor: self.floor,
            revision: self.events.len() as u64,
        }
    }

    /// Returns the changes that a watch receives after a revision.
    pub fn watch(&self, after: u64) -> Event {
        let first = usize::try_from(after).unwrap_or(usize::MAX);

        Event::Watched {
            changes: self.events.get(first..).unwrap_or_default().to_vec(),
            revision: self.events.len() as u64,
        }
    }

    /// Reads the snapshot.
    pub fn read_snapshot(&self) -> Event {
        Event::SnapshotRead(self.snapshot.clone())
    }

    /// Writes a snapshot, then its floor, and deletes the changes up to it.
    /// Only the first `parts` of these three take effect.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot, floor: Floor, parts: u8) -> Event {
        if self.floor.snapshot < floor.snapshot {
            if self
                .snapshot
                .as_ref()
                .is_none_or(|old| old.version < snapshot.version)
            {
                self.snapshot = Some(snapshot.clone());
            }

            if parts > 1 {
                self.floor = floor;
            }

            if parts > 2 {
                self.objects = self.objects.split_off(&(floor.through + 1));
            }
        }

        Event::SnapshotWritten(Some(self.floor))
    }

    fn accept(&mut self, change: &Change, base: u64) -> Result<(), Violation> {
        let newest = self.version();

        if change.version <= newest {
            return Ok(());
        }

        if change.version > newest + 1 {
            return Err(Violation::Skipped {
                version: change.version,
            });
        }

        let oldest_kept = self.history.len().saturating_sub(self.kept_changes - 1);

        if self.history[oldest_kept..]
            .iter()
            .any(|other| other.operation == change.operation)
        {
            return Err(Violation::AppliedTwice {
                operation: change.operation.clone(),
            });
        }

        let mut tree = self.trees.last().cloned().unwrap_or_default();

        let base = usize::try_from(base).unwrap_or(usize::MAX);
        let others = self.history.get(base..).unwrap_or_default();

        if change.edits.iter().any(|edit| {
            let mut edits = others.iter().flat_map(|other| &other.edits);
            tree.get(&edit.path, &edit.key) != edit.old.as_deref()
                || edits.any(|other| other.path == edit.path && other.key == edit.key)
        }) {
            return Err(Violation::LostUpdate {
                version: change.version,
            });
        }

        tree.apply(&change.edits);
        self.trees.push(tree);
        self.history.push(change.clone());
        Ok(())
    }
}
