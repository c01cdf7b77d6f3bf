//! Reads and writes the settings in the object API: a log of changes, a snapshot
//! and the floor below which changes are deleted.

use {
    crate::{
        protocol::{
            Error,
            error::JsonSnafu,
            object::Object,
            object_api::{ObjectApi, WriteOutcome},
        },
        state::{
            settings::change::Change,
            settings::snapshot::{Floor, Snapshot},
        },
    },
    serde::de::DeserializeOwned,
    serde_json::Value,
    snafu::ResultExt,
    std::time::Duration,
};

const CHANGES: &str = "settings/changes/";
const FLOOR: &str = "settings/floor";
const SNAPSHOT: &str = "settings/snapshot";

/// Number of objects in one page of a list. A change takes up to 1 MB, and the
/// client reads answers of up to 64 MB.
const PAGE_SIZE: usize = 60;

/// The log of changes, its snapshot and its floor.
#[derive(Clone, Debug)]
pub struct SettingsLog(ObjectApi);

impl SettingsLog {
    /// Creates a log that is stored in an object API.
    pub fn new(store: ObjectApi) -> Self {
        Self(store)
    }

    /// Appends a change, unless there is one with the same version.
    pub fn create(&self, change: &Change) -> WriteOutcome {
        self.0.create(&key(change.version), change)
    }

    /// Reads the changes after a version and then, if there are any, the floor.
    /// Also returns the revision of the first page.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer.
    pub fn list(&self, after: u64) -> Result<(Vec<Change>, Floor, u64), Error> {
        let mut changes = Vec::<Change>::new();
        let mut last = key(after);
        let mut first_revision = None;

        loop {
            let list = self.0.list(CHANGES, &last, PAGE_SIZE)?;
            let count = list.objects.len();
            let revision = *first_revision.get_or_insert(list.revision);

            if let Some(object) = list.objects.last() {
                last.clone_from(&object.key);
            }

            for object in list.objects {
                changes.push(decode(&object.key, object.value)?);
            }

            let has_gap = changes
                .first()
                .is_some_and(|change| change.version > after + 1);

            // After a gap the caller needs a snapshot, so the remaining pages are
            // not read.
            if count < PAGE_SIZE || has_gap {
                let floor = if changes.is_empty() {
                    Floor::default()
                } else {
                    self.read_floor()?.0
                };
                return Ok((changes, floor, revision));
            }
        }
    }

    /// Waits for changes after a revision. Returns them in the order in which they
    /// were written, and the revision after which to continue.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer.
    pub fn watch(&self, after: u64, wait: Duration) -> Result<(Vec<Change>, u64), Error> {
        let mut watch = self.0.watch(CHANGES, after, wait)?;
        watch.events.sort_unstable_by_key(|event| event.version);
        let changes = watch
            .events
            .into_iter()
            .filter_map(|event| Some(decode(&event.key, event.value?)))
            .collect::<Result<_, _>>()?;
        Ok((changes, watch.revision))
    }

    /// Returns the latest changes up to a version, the newest first.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer.
    pub fn history(&self, version: u64, limit: usize) -> Result<Vec<Change>, Error> {
        let after = version.saturating_sub(limit as u64);
        let (mut changes, floor, _) = self.list(after)?;
        changes.retain(|change| change.version > floor.through);
        changes.reverse();
        changes.truncate(limit);
        Ok(changes)
    }

    /// Returns the snapshot and the version of its object.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer.
    pub fn read_snapshot(&self) -> Result<Option<(Snapshot, u64)>, Error> {
        self.read(SNAPSHOT)
    }

    /// Writes a snapshot, then the floor, then deletes the changes up to the floor.
    /// Stops if another host writes the snapshot or the floor at the same time. A
    /// stored snapshot that is at least as new is kept. Returns the current floor.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer or refuses a write.
    pub fn compact(&self, snapshot: &Snapshot, floor: Floor) -> Result<Floor, Error> {
        let (known, known_version) = self.read_floor()?;

        if known.snapshot >= floor.snapshot {
            return Ok(known);
        }

        let written = match self.read_snapshot()? {
            Some((old, _)) if old.version >= snapshot.version => true,
            Some((_, version)) => was_written(self.0.update(SNAPSHOT, snapshot, version))?,
            None => was_written(self.0.create(SNAPSHOT, snapshot))?,
        };

        if !written {
            return Ok(known);
        }

        let written = if known_version == 0 {
            was_written(self.0.create(FLOOR, &floor))?
        } else {
            was_written(self.0.update(FLOOR, &floor, known_version))?
        };

        if written {
            self.prune(floor.through)?;
        }

        Ok(self.read_floor()?.0)
    }

    /// Deletes the changes up to and including a version.
    fn prune(&self, through: u64) -> Result<(), Error> {
        loop {
            let list = self.0.list(CHANGES, "", PAGE_SIZE)?;
            let last = key(through);
            let old = list
                .objects
                .iter()
                .filter(|object| object.key <= last)
                .collect::<Vec<_>>();

            for object in &old {
                was_written(self.0.delete(&object.key, object.version))?;
            }

            if old.len() < PAGE_SIZE {
                return Ok(());
            }
        }
    }

    fn read_floor(&self) -> Result<(Floor, u64), Error> {
        Ok(self.read(FLOOR)?.unwrap_or_default())
    }

    fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(T, u64)>, Error> {
        self.0
            .get(key)?
            .map(|Object { value, version, .. }| Ok((decode(key, value)?, version)))
            .transpose()
    }
}

fn key(version: u64) -> String {
    format!("{CHANGES}{version:012}")
}

fn decode<T: DeserializeOwned>(key: &str, value: Value) -> Result<T, Error> {
    serde_json::from_value(value).context(JsonSnafu { what: key })
}

/// Returns whether a write was carried out: `false` if another host was first.
fn was_written(write: WriteOutcome) -> Result<bool, Error> {
    match write {
        WriteOutcome::Conflict { .. } => Ok(false),
        WriteOutcome::Done { .. } => Ok(true),
        WriteOutcome::Refused(error) | WriteOutcome::Unknown(error) => Err(error),
    }
}
