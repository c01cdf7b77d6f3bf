//! The witness's memory: whether a ticket's request may have run.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// How long after a ticket's stamp the witness attests, on its own clock.
pub const RETENTION: Duration = Duration::from_secs(120);

/// The witness's answer to a permit or a void.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The ticket is too old or names another life of the witness.
    Expired,
    /// The table has no room; nothing was recorded.
    Full,
    /// The request may be sent by the holder of the nonce.
    Granted,
    /// A permit was granted before, so the request cannot be voided.
    MayHaveRun,
    /// A permit was granted under another nonce.
    Taken,
    /// The request never gets a permit.
    Voided,
}

/// What a witness needs to know of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Subject {
    /// The host that is asked.
    pub host: id::Host,
    /// The life of the host that is asked.
    pub incarnation: id::Incarnation,
    pub request: id::Request,
    /// Lower bound of the issue time on the witness's clock.
    pub stamp: Time,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Record {
    Granted { nonce: u64 },
    Voided,
}

/// The records of one incarnation of a host.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Records by stamp, for dropping the oldest.
    ages: BTreeSet<(Time, id::Request)>,
    capacity: usize,
    host: id::Host,
    incarnation: id::Incarnation,
    records: HashMap<id::Request, Record>,
}

impl Witness {
    /// Builds an empty table for at most `capacity` tickets.
    pub fn new(host: id::Host, incarnation: id::Incarnation, capacity: usize) -> Self {
        Self {
            ages: BTreeSet::new(),
            capacity,
            host,
            incarnation,
            records: HashMap::new(),
        }
    }

    /// Answers whether the holder of `nonce` may send the request.
    pub fn permit(&mut self, now: Time, subject: &Subject, nonce: u64) -> Verdict {
        match self.lookup(now, subject) {
            Err(verdict) => verdict,
            Ok(Some(Record::Granted { nonce: holder })) if holder == nonce => Verdict::Granted,
            Ok(Some(Record::Granted { .. })) => Verdict::Taken,
            Ok(Some(Record::Voided)) => Verdict::Voided,
            Ok(None) => self.record(subject, Record::Granted { nonce }, Verdict::Granted),
        }
    }

    /// Rules out that the request ever runs, unless a permit was granted.
    pub fn void(&mut self, now: Time, subject: &Subject) -> Verdict {
        match self.lookup(now, subject) {
            Err(verdict) => verdict,
            Ok(Some(Record::Granted { .. })) => Verdict::MayHaveRun,
            Ok(Some(Record::Voided)) => Verdict::Voided,
            Ok(None) => self.record(subject, Record::Voided, Verdict::Voided),
        }
    }

    /// Starts a new life: forgets every record and attests only for tickets
    /// that name the new incarnation.
    pub fn restart(&mut self, incarnation: id::Incarnation) {
        self.ages.clear();
        self.incarnation = incarnation;
        self.records.clear();
    }

    /// Drops the records of tickets for which this witness no longer attests.
    pub fn expire(&mut self, now: Time) {
        while let Some((stamp, request)) = self.ages.pop_first() {
            if is_retained(now, stamp) {
                self.ages.insert((stamp, request));
                return;
            }

            self.records.remove(&request);
        }
    }

    fn lookup(&self, now: Time, subject: &Subject) -> Result<Option<Record>, Verdict> {
        let own = subject.host == self.host && subject.incarnation == self.incarnation;

        if own && is_retained(now, subject.stamp) {
            Ok(self.records.get(&subject.request).copied())
        } else {
            Err(Verdict::Expired)
        }
    }

    fn record(&mut self, subject: &Subject, record: Record, verdict: Verdict) -> Verdict {
        if self.records.len() >= self.capacity {
            return Verdict::Full;
        }

        self.ages.insert((subject.stamp, subject.request.clone()));
        self.records.insert(subject.request.clone(), record);
        verdict
    }
}

fn is_retained(now: Time, stamp: Time) -> bool {
    now.since(stamp) < RETENTION
}
