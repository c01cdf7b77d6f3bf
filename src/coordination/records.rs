//! A bounded table of the records of this host's requests.

use {
    crate::{
        coordination::record::{Outcome, Record, RequestInfo},
        state::{claims::home, clock::Time, id},
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Capacity of the table per request that may be in progress. With the default
/// limit of 5,000 requests the table takes 100,000 records; at 26 requests a
/// second and a retention of 60 s a host holds about 1,600.
const RECORDS_PER_REQUEST: usize = 20;

/// Maximum size of all recorded answers, in bytes: a quarter of a host's memory.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Result of looking up a request's record or opening one.
#[derive(Debug)]
pub enum OpenOutcome {
    /// The idempotency key or ticket was used before with another body.
    Conflict,
    /// The table is at the limit of this name.
    Full(&'static str),
    /// The request has a record; it is in progress or has ended.
    Known(Arc<Record>),
    /// The request has a new record; the caller must run or refuse it.
    New(Arc<Record>),
}

#[derive(Debug, Default)]
struct Inner {
    /// Size of the recorded answers, in bytes.
    bytes: usize,
    /// When ended records are to be removed, the earliest first.
    removals: BTreeSet<(Time, id::Request)>,
    /// Requests by team and idempotency key.
    keys: HashMap<(id::Team, String), id::Request>,
    records: HashMap<id::Request, Arc<Record>>,
    /// Number of requests in progress.
    running: usize,
    /// The subset of `removals` that may be removed earlier to free space.
    evictable: BTreeSet<(Time, id::Request)>,
}

/// The bounded table of records.
#[derive(Debug)]
pub struct Records {
    /// Maximum number of records, apart from those of refused tickets.
    capacity: usize,
    inner: Mutex<Inner>,
    /// Maximum number of requests in progress.
    requests: usize,
    retention: Duration,
}

impl Records {
    /// Creates a table for up to `requests` in progress, whose records are kept
    /// for `retention` after they have ended.
    pub fn new(requests: usize, retention: Duration) -> Self {
        Self {
            capacity: requests.saturating_mul(RECORDS_PER_REQUEST),
            inner: Mutex::default(),
            requests,
            retention,
        }
    }

    /// Returns the record of a request.
    pub fn get(&self, now: Time, request: &id::Request) -> Option<Arc<Record>> {
        let mut inner = self.lock();
        inner.expire(now);
        inner.records.get(request).cloned()
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Returns the requests in progress and their deadlines.
    pub fn unfinished(&self) -> Vec<(id::Request, Time)> {
        self.lock()
            .records
            .values()
            .filter(|record| !record.ended())
            .map(|record| (record.info.request.clone(), record.info.deadline))
            .collect()
    }

    /// Finds the record of a request by its id or its idempotency key.
    pub fn find(&self, now: Time, info: &RequestInfo) -> Option<OpenOutcome> {
        let mut inner = self.lock();
        inner.expire(now);
        inner.find(info)
    }

    /// Finds the record of a request, or opens one.
    pub fn open(&self, now: Time, info: RequestInfo) -> OpenOutcome {
        let mut inner = self.lock();
        inner.expire(now);

        if let Some(found) = inner.find(&info) {
            return found;
        }

        if inner.running >= self.requests {
            return OpenOutcome::Full("requests");
        }

        if !inner.evict_until_free(self.capacity) {
            return OpenOutcome::Full("records");
        }

        inner.running += 1;
        OpenOutcome::New(inner.insert(info))
    }

    /// Inserts a record that has already ended, unless there is one. It is used
    /// for refused tickets, so that a late copy of the same request never runs.
    /// Returns `None` if the table holds twice its capacity.
    pub fn insert_ended(
        &self,
        now: Time,
        info: RequestInfo,
        outcome: &Outcome,
    ) -> Option<Arc<Record>> {
        let mut inner = self.lock();
        inner.expire(now);

        if let Some(record) = inner.records.get(&info.request) {
            return Some(Arc::clone(record));
        }

        if inner.records.len() >= self.capacity.saturating_mul(2) {
            return None;
        }

        let record = inner.insert(info);
        record.end(outcome.clone());
        inner.schedule_removal(now, &record, self.retention);
        Some(record)
    }

    /// Ends a request that was opened, unless it has ended. Returns whether the
    /// outcome was set.
    pub fn end(&self, now: Time, record: &Record, outcome: Outcome) -> bool {
        let mut inner = self.lock();
        let first = record.end(outcome);

        if first {
            inner.running = inner.running.saturating_sub(1);
            inner.schedule_removal(now, record, self.retention);
        }

        first
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Removes the records whose retention is over.
    fn expire(&mut self, now: Time) {
        while let Some((due, _)) = self.removals.first()
            && *due <= now
            && let Some(oldest) = self.removals.pop_first()
        {
            self.evictable.remove(&oldest);
            self.remove(&oldest.1);
        }
    }

    fn remove(&mut self, request: &id::Request) {
        let Some(record) = self.records.remove(request) else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(record.bytes());

        if let Some(key) = &record.info.key {
            let team = record.info.team.clone();
            self.keys.remove(&(team, key.clone()));
        }
    }

    /// Removes ended records, the oldest first, until there is space for another
    /// one. Records with a ticket or an idempotency key stay, since without them
    /// a second copy of the request would run. Returns whether there is space.
    fn evict_until_free(&mut self, capacity: usize) -> bool {
        loop {
            if self.records.len() < capacity && self.bytes < MAX_ANSWER_BYTES {
                return true;
            }

            let Some(oldest) = self.evictable.pop_first() else {
                return false;
            };
            self.removals.remove(&oldest);
            self.remove(&oldest.1);
        }
    }

    fn find(&self, info: &RequestInfo) -> Option<OpenOutcome> {
        let request = match &info.key {
            Some(key) => self.keys.get(&(info.team.clone(), key.clone()))?,
            None => &info.request,
        };
        let record = self.records.get(request)?;

        if record.info.digest != info.digest {
            return Some(OpenOutcome::Conflict);
        }

        Some(OpenOutcome::Known(Arc::clone(record)))
    }

    fn insert(&mut self, info: RequestInfo) -> Arc<Record> {
        let request = info.request.clone();

        if let Some(key) = &info.key {
            let team = info.team.clone();
            self.keys.insert((team, key.clone()), request.clone());
        }

        let record = Arc::new(Record::new(info));
        self.records.insert(request, Arc::clone(&record));
        record
    }

    /// Schedules the removal of an ended record after its retention. A record
    /// with a ticket stays at least until the home no longer answers for tickets
    /// of that age.
    fn schedule_removal(&mut self, now: Time, record: &Record, retention: Duration) {
        self.bytes += record.bytes();
        let retained_until = now + retention;
        let due = match record.info.ticket {
            Some(issued) => retained_until.max(issued + home::RETENTION),
            None => retained_until,
        };
        let entry = (due, record.info.request.clone());

        if record.info.ticket.is_none() && record.info.key.is_none() {
            self.evictable.insert(entry.clone());
        }

        self.removals.insert(entry);
    }
}
