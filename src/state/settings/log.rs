//! Log of the changes applied on one host, and the resulting tree.

use {
    crate::state::{
        settings::change::Change,
        settings::snapshot::{Batch, Snapshot},
        settings::tree::Tree,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Maximum number of changes kept until a missing earlier one arrives.
const MAX_PENDING_CHANGES: usize = 2000;

/// Maximum size of one batch for a peer in bytes, unless its first change alone
/// is larger. A message between hosts is limited to 8 MB.
const MAX_BATCH_BYTES: usize = 1_000_000;

/// Applied changes and the resulting tree. The version never decreases.
#[derive(Clone, Debug)]
pub struct Log {
    /// Changes by version that wait for a missing earlier one.
    pending: BTreeMap<u64, Change>,
    /// Number of latest changes and operation ids kept.
    kept_changes: u64,
    operations: BTreeMap<u64, String>,
    recent: BTreeMap<u64, Change>,
    tree: Arc<Tree>,
    version: u64,
    versions: HashMap<String, u64>,
}

impl Log {
    /// Builds an empty log that keeps the latest `kept_changes` changes.
    pub fn new(kept_changes: u64) -> Self {
        Self {
            pending: BTreeMap::new(),
            kept_changes,
            operations: BTreeMap::new(),
            recent: BTreeMap::new(),
            tree: Arc::default(),
            version: 0,
            versions: HashMap::new(),
        }
    }

    /// Returns the version of the latest applied change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the tree after the latest applied change.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns whether changes wait for a missing earlier one.
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the version of the change with this operation id, if its
    /// operation is still kept.
    pub fn version_of(&self, operation: &str) -> Option<u64> {
        self.versions.get(operation).copied()
    }

    /// Returns whether the operation id of the change at `version` is still
    /// kept.
    pub fn keeps_operation(&self, version: u64) -> bool {
        version + self.kept_changes > self.version
    }

    /// Returns the kept changes, newest first.
    pub fn recent(&self) -> impl Iterator<Item = &Change> {
        self.recent.values().rev()
    }

    /// Returns the changes from `version` on, or `None` if the change at
    /// `version` is not kept.
    pub fn changes_from(&self, version: u64) -> Option<impl Iterator<Item = &Change> + Clone> {
        self.recent.get(&version)?;
        Some(self.recent.range(version..).map(|(_, change)| change))
    }

    /// Adds changes in any order and applies those that follow without a gap.
    pub fn ingest(&mut self, changes: Vec<Change>) {
        for change in changes {
            if change.version > self.version {
                self.pending.entry(change.version).or_insert(change);
            }
        }

        self.apply_pending();

        while self.pending.len() > MAX_PENDING_CHANGES {
            self.pending.pop_last();
        }
    }

    /// Replaces the tree by a snapshot if it is newer.
    pub fn install(&mut self, snapshot: Snapshot) {
        if snapshot.version <= self.version {
            return;
        }

        self.version = snapshot.version;
        self.tree = Arc::new(snapshot.tree);
        self.versions = snapshot
            .operations
            .iter()
            .map(|(version, operation)| (operation.clone(), *version))
            .collect();
        self.operations = snapshot.operations;
        self.recent.clear();
        self.pending = self.pending.split_off(&(self.version + 1));
        self.apply_pending();
    }

    /// Returns what a host at `version` is missing: changes up to the size
    /// limit, or a snapshot if the next change is no longer kept.
    pub fn batch_after(&self, version: u64) -> Batch {
        if version < self.version && !self.recent.contains_key(&(version + 1)) {
            return Batch::Snapshot(self.snapshot());
        }

        let mut bytes = 0;
        let changes = self
            .recent
            .range(version.saturating_add(1)..)
            .map(|(_, change)| change)
            .take_while(|change| {
                let first = bytes == 0;
                bytes += change.bytes();
                first || bytes <= MAX_BATCH_BYTES
            });
        Batch::Changes(changes.cloned().collect())
    }

    /// Returns a snapshot of the current version.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version,
            tree: Tree::clone(&self.tree),
            operations: self.operations.clone(),
        }
    }

    fn apply_pending(&mut self) {
        while let Some(change) = self.pending.remove(&(self.version + 1)) {
            self.apply(change);
        }
    }

    fn apply(&mut self, change: Change) {
        self.version = change.version;
        Arc::make_mut(&mut self.tree).apply(&change.edits);
        self.operations
            .insert(change.version, change.operation.clone());
        self.versions
            .insert(change.operation.clone(), change.version);
        self.recent.insert(change.version, change);

        let oldest = (self.version + 1).saturating_sub(self.kept_changes);
        while self
            .recent
            .first_key_value()
            .is_some_and(|(version, _)| *version < oldest)
        {
            self.recent.pop_first();
        }

        while let Some(entry) = self.operations.first_entry()
            && *entry.key() < oldest
        {
            let (version, operation) = entry.remove_entry();

            if self.versions.get(&operation) == Some(&version) {
                self.versions.remove(&operation);
            }
        }
    }
}
