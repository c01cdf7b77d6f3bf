//! Table of permits and voids that a witness keeps for other hosts' tickets.

use {
    crate::state::{clock::Time, id},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Time after a ticket's stamp for which the witness grants or voids the ticket
/// and keeps the record, on the witness's clock.
pub const RETENTION: Duration = Duration::from_secs(120);

/// Answer to a permit or a void.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessAnswer {
    /// The ticket is too old or names another incarnation of the witness.
    Expired,
    /// The table is full; nothing was recorded.
    Full,
    /// The holder of the nonce may send the request.
    Granted,
    /// A permit was already granted, so the ticket cannot be voided.
    MayHaveRun,
    /// A permit was already granted to another nonce.
    Taken,
    /// The ticket is voided: it will never get a permit.
    Voided,
}

/// The part of a ticket that is sent to its witness.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Subject {
    /// Host that acts as witness.
    pub host: id::Host,
    /// Incarnation of the witness.
    pub incarnation: id::Incarnation,
    pub request: id::Request,
    /// Lower bound of the ticket's issue time, on the witness's clock.
    pub stamp: Time,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Record {
    Granted { nonce: u64 },
    Voided,
}

/// Records of one incarnation of a witness.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Requests by stamp, to remove expired records oldest first.
    by_stamp: BTreeSet<(Time, id::Request)>,
    capacity: usize,
    host: id::Host,
    incarnation: id::Incarnation,
    records: HashMap<id::Request, Record>,
}

impl Witness {
    /// Builds an empty table for at most `capacity` tickets.
    pub fn new(host: id::Host, incarnation: id::Incarnation, capacity: usize) -> Self {
        Self {
            by_stamp: BTreeSet::new(),
            capacity,
            host,
            incarnation,
            records: HashMap::new(),
        }
    }

    /// Grants a permit to `nonce` unless the ticket is voided or granted to
    /// another nonce. A repeated permit with the same nonce is granted again.
    pub fn permit(&mut self, now: Time, subject: &Subject, nonce: u64) -> WitnessAnswer {
        match self.lookup(now, subject) {
            Err(answer) => answer,
            Ok(Some(Record::Granted { nonce: holder })) if holder == nonce => {
                WitnessAnswer::Granted
            }
            Ok(Some(Record::Granted { .. })) => WitnessAnswer::Taken,
            Ok(Some(Record::Voided)) => WitnessAnswer::Voided,
            Ok(None) => self.record(subject, Record::Granted { nonce }, WitnessAnswer::Granted),
        }
    }

    /// Voids the ticket, so that its request never runs, unless a permit was
    /// already granted.
    pub fn void(&mut self, now: Time, subject: &Subject) -> WitnessAnswer {
        match self.lookup(now, subject) {
            Err(answer) => answer,
            Ok(Some(Record::Granted { .. })) => WitnessAnswer::MayHaveRun,
            Ok(Some(Record::Voided)) => WitnessAnswer::Voided,
            Ok(None) => self.record(subject, Record::Voided, WitnessAnswer::Voided),
        }
    }

    /// Changes the incarnation and removes all records. Tickets that name an
    /// older incarnation are answered with `Expired` from then on.
    pub fn restart(&mut self, incarnation: id::Incarnation) {
        self.by_stamp.clear();
        self.incarnation = incarnation;
        self.records.clear();
    }

    /// Removes the records of tickets past their retention.
    pub fn expire(&mut self, now: Time) {
        while let Some((stamp, request)) = self.by_stamp.pop_first() {
            if is_retained(now, stamp) {
                self.by_stamp.insert((stamp, request));
                return;
            }

            self.records.remove(&request);
        }
    }

    fn lookup(&self, now: Time, subject: &Subject) -> Result<Option<Record>, WitnessAnswer> {
        let own = subject.host == self.host && subject.incarnation == self.incarnation;

        if own && is_retained(now, subject.stamp) {
            Ok(self.records.get(&subject.request).copied())
        } else {
            Err(WitnessAnswer::Expired)
        }
    }

    fn record(
        &mut self,
        subject: &Subject,
        record: Record,
        answer: WitnessAnswer,
    ) -> WitnessAnswer {
        if self.records.len() >= self.capacity {
            return WitnessAnswer::Full;
        }

        self.by_stamp
            .insert((subject.stamp, subject.request.clone()));
        self.records.insert(subject.request.clone(), record);
        answer
    }
}

fn is_retained(now: Time, stamp: Time) -> bool {
    now.since(stamp) < RETENTION
}
