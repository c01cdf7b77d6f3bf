//! The lease that makes one host the sender of orders to a pool's engines.
//!
//! The lease is one object, changed only by conditional writes, so the store
//! decides every race. A write raises the object's version, and that version
//! is the fencing token. Winning the lease is not the same as still holding
//! it: a holder may order only until [`Role::Holder`]'s `until`, which
//! counts from the moment it *sent* the write that made its version. What a
//! holder does that was paused beyond that moment is refused by engines that
//! enforce the token; for engines that ignore it the margins below keep a
//! running holder and its successor apart (after "An S3 lock needs a plan for
//! the worker that returns late").

use {
    crate::state::{clock::Time, id, pool::Fencing},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// How long a lease lasts after its last renewal.
pub const DURATION: Duration = Duration::from_secs(8);

/// How much longer a contender waits, for clocks that run at different rates.
pub const MARGIN: Duration = Duration::from_secs(1);

/// Longest time for sending one order; inside half the lease, so that an order
/// begun at the last moment is off before the lease expires.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two renewals, and between two looks of a contender.
pub const RENEWAL: Duration = Duration::from_secs(2);

/// Stands for the version of an object that does not exist.
const ABSENT: u64 = 0;

/// The lease object's value.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Zero when the holder has released the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    pub holder: id::Host,
    pub incarnation: id::Incarnation,
}

/// The lease object as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRecord {
    pub record: Record,
    pub version: u64,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// The write took effect and made this version.
    Done { version: u64 },
    /// Another write was first.
    Lost,
    /// The answer was lost; the write may have taken effect.
    Unknown,
}

/// What the lease is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Whether this host is one of the pool's candidates.
    Candidate(bool),
    /// This host is stopping: the lease is released, and not taken again.
    Leaving,
    /// The object was read; `None` when it does not exist.
    Read(Option<VersionedRecord>),
    /// The object could not be read.
    ReadFailed,
    /// The write that was asked for ended.
    Written(Written),
}

/// What the lease wants done next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The lease object is to be read.
    Read,
    /// Nothing is to be done now.
    Wait,
    /// The lease object is to be written if it has the expected version;
    /// `None` stands for an object that does not exist.
    Write {
        expected: Option<u64>,
        record: Record,
    },
}

/// What this host may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It may not send orders.
    Follower,
    /// It may send orders with this token until this moment.
    Holder { token: u64, until: Time },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Seen {
    duration: Duration,
    since: Time,
    version: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    None,
    Read,
    /// A write sent at this moment.
    Write(Time),
}

/// One host's part in the lease of one pool.
#[derive(Clone, Debug)]
pub struct Lease {
    candidate: bool,
    fencing: Fencing,
    held: Option<(u64, Time)>,
    host: id::Host,
    incarnation: id::Incarnation,
    leaving: bool,
    next_look: Time,
    pending: Pending,
    seen: Option<Seen>,
    /// Send time of a write whose answer was lost.
    unsettled: Option<Time>,
}

impl Lease {
    /// Builds the part of a host that holds nothing yet.
    pub fn new(host: id::Host, incarnation: id::Incarnation, fencing: Fencing) -> Self {
        Self {
            candidate: false,
            fencing,
            held: None,
            host,
            incarnation,
            leaving: false,
            next_look: Time::ZERO,
            pending: Pending::None,
            seen: None,
            unsettled: None,
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Leaving => {
                self.leaving = true;
                self.next_look = now;
            }
            Event::Read(found) => self.read(now, found),
            Event::ReadFailed => self.pending = Pending::None,
            Event::Written(written) => self.written(now, written),
        }
    }

    /// Returns what is to be done now; a read or write that is returned must
    /// be carried out and its end reported.
    pub fn next(&mut self, now: Time) -> Next {
        if self.pending != Pending::None || now < self.next_look || self.idle(now) {
            return Next::Wait;
        }

        self.next_look = now + RENEWAL;

        if self.unsettled.is_none()
            && let Some(next) = self.write(now)
        {
            self.pending = Pending::Write(now);
            return next;
        }

        self.pending = Pending::Read;
        Next::Read
    }

    /// Returns what this host may do at this moment.
    pub fn role(&self, now: Time) -> Role {
        match self.held {
            Some((token, sent)) if self.wanted() && now < sent + self.usable() => Role::Holder {
                token,
                until: sent + self.usable(),
            },
            _ => Role::Follower,
        }
    }

    fn wanted(&self) -> bool {
        self.candidate && !self.leaving
    }

    /// Whether the host neither wants the lease nor has anything to give up.
    fn idle(&self, now: Time) -> bool {
        let holds = self.held.is_some_and(|(_, sent)| now < sent + DURATION);
        !self.wanted() && !holds && self.unsettled.is_none()
    }

    /// How long after the send time of a renewal orders may start.
    fn usable(&self) -> Duration {
        match self.fencing {
            Fencing::Enforced => DURATION - ORDER_TIMEOUT,
            Fencing::Ignored => DURATION / 2,
        }
    }

    fn write(&self, now: Time) -> Option<Next> {
        if let Some((token, sent)) = self.held
            && now < sent + DURATION
        {
            return Some(self.conditional(Some(token)));
        }

        let seen = self.seen?;
        let expected = (seen.version != ABSENT).then_some(seen.version);
        (now >= seen.since + self.wait(&seen)).then(|| self.conditional(expected))
    }

    /// How long a record must stay unchanged before another host takes it.
    fn wait(&self, seen: &Seen) -> Duration {
        let lease = if seen.duration.is_zero() {
            Duration::ZERO
        } else {
            seen.duration + MARGIN
        };

        // Without fencing the last order of the old holder must be off first.
        match self.fencing {
            Fencing::Enforced => lease,
            Fencing::Ignored => lease + ORDER_TIMEOUT,
        }
    }

    fn conditional(&self, expected: Option<u64>) -> Next {
        let gives_up = !self.wanted();

        Next::Write {
            expected,
            record: Record {
                duration: if gives_up { Duration::ZERO } else { DURATION },
                holder: self.host.clone(),
                incarnation: self.incarnation,
            },
        }
    }

    fn read(&mut self, now: Time, found: Option<VersionedRecord>) {
        self.pending = Pending::None;

        let Some(found) = found else {
            self.unsettled = None;
            self.held = None;
            self.see(now, ABSENT, Duration::ZERO);
            return;
        };

        let mine = found.record.holder == self.host && found.record.incarnation == self.incarnation;

        let known = self.held.is_some_and(|(token, _)| token == found.version);

        match self.unsettled.take() {
            // The write whose answer was lost took effect, since the version
            // is new and mine. The lease counts from that write's send time.
            Some(sent) if mine && !known && !found.record.duration.is_zero() => {
                self.held = Some((found.version, sent));
            }
            _ if known => {}
            _ => self.held = None,
        }

        self.see(now, found.version, found.record.duration);
    }

    /// Notes since when a version has stood unchanged.
    fn see(&mut self, now: Time, version: u64, duration: Duration) {
        if self.seen.is_none_or(|seen| seen.version != version) {
            self.next_look = now;
            self.seen = Some(Seen {
                duration,
                since: now,
                version,
            });
        }
    }

    fn written(&mut self, now: Time, written: Written) {
        let Pending::Write(sent) = self.pending else {
            return;
        };

        self.pending = Pending::None;

        match written {
            Written::Done { version } => self.done(now, sent, version),
            Written::Lost => {
                self.held = None;
                self.seen = None;
                self.next_look = now;
            }
            Written::Unknown => {
                self.unsettled = Some(sent);
                self.next_look = now;
            }
        }
    }

    fn done(&mut self, now: Time, sent: Time, version: u64) {
        let gave_up = !self.wanted();
        self.held = (!gave_up).then_some((version, sent));
        self.seen = Some(Seen {
            duration: if gave_up { Duration::ZERO } else { DURATION },
            since: now,
            version,
        });
    }
}
