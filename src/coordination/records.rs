//! The records of this host's requests.

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

/// Records held for each request that may be in progress. With the default of
/// 5,000 requests that is 100,000; at 26 requests a second and 60 s of retention
/// a host holds about 1,600.
const RECORDS_PER_REQUEST: usize = 20;

/// Bytes of answers held at a time, a quarter of the memory of a host.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How a request is found or opened.
#[derive(Debug)]
pub enum OpenOutcome {
    /// The same key or ticket came with another body.
    Conflict,
    /// No room: the name of the limit.
    Full(&'static str),
    /// The request is known: its run is in progress or its answer recorded.
    Known(Arc<Record>),
    /// The request is new and must now be run or refused.
    New(Arc<Record>),
}

#[derive(Debug, Default)]
struct Inner {
    /// Bytes of the recorded answers.
    bytes: usize,
    /// When ended records may go, earliest first.
    due: BTreeSet<(Time, id::Request)>,
    keys: HashMap<(id::Team, String), id::Request>,
    records: HashMap<id::Request, Arc<Record>>,
    running: usize,
    /// The part of `due` that may go earlier when there is no room.
    spare: BTreeSet<(Time, id::Request)>,
}

/// The bounded table of records.
#[derive(Debug)]
pub struct Records {
    capacity: usize,
    inner: Mutex<Inner>,
    requests: usize,
    retention: Duration,
}

impl Records {
    /// Builds a table for `requests` in progress, whose answers are kept for
    /// `retention`.
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

        if let Some(known) = inner.find(&info) {
            return known;
        }

        if inner.running >= self.requests {
            return OpenOutcome::Full("requests");
        }

        if !inner.make_room(self.capacity) {
            return OpenOutcome::Full("records");
        }

        inner.running += 1;
        OpenOutcome::New(inner.insert(info))
    }

    /// Opens a record and ends it at once. A ticket that was refused gets one,
    /// so that a late copy of the same request never runs. Returns `None`
    /// when twice the usual number of records is reached.
    pub fn close(&self, now: Time, info: RequestInfo, outcome: &Outcome) -> Option<Arc<Record>> {
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
        inner.keep(now, &record, self.retention);
        Some(record)
    }

    /// Ends a request that was opened; the first outcome stays.
    pub fn end(&self, now: Time, record: &Record, outcome: Outcome) -> bool {
        let mut inner = self.lock();
        let first = record.end(outcome);

        if first {
            inner.running = inner.running.saturating_sub(1);
            inner.keep(now, record, self.retention);
        }

        first
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn expire(&mut self, now: Time) {
        while let Some((due, _)) = self.due.first()
            && *due <= now
            && let Some(oldest) = self.due.pop_first()
        {
            self.spare.remove(&oldest);
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

    /// Drops ended records, the oldest first, until there is room for another
    /// one. Those of tickets and idempotency keys stay: without them a second
    /// copy of a request would run.
    fn make_room(&mut self, capacity: usize) -> bool {
        loop {
            if self.records.len() < capacity && self.bytes < ANSWER_BYTES {
                return true;
            }

            let Some(oldest) = self.spare.pop_first() else {
                return false;
            };
            self.due.remove(&oldest);
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

    /// Keeps an ended record for its retention. That of a ticket stays at
    /// least until the home no longer answers for tickets of its age.
    fn keep(&mut self, now: Time, record: &Record, retention: Duration) {
        self.bytes += record.bytes();
        let answer = now + retention;
        let due = match record.info.ticket {
            Some(issued) => answer.max(issued + home::RETENTION),
            None => answer,
        };
        let entry = (due, record.info.request.clone());

        if record.info.ticket.is_none() && record.info.key.is_none() {
            self.spare.insert(entry.clone());
        }

        self.due.insert(entry);
    }
}
