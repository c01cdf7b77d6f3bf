//! The lease that lets exactly one host send orders to a pool's engines.
//!
//! The lease is a single object that is changed only by conditional writes, so
//! the store resolves every race. Each write raises the object's version, which
//! serves as the fencing token. A host that acquired the lease may have lost it
//! since: it may send orders only until [`Role::Holder`]'s `until`, which
//! counts from the moment it *sent* the write that created its version. Engines
//! that enforce the token refuse the orders of a holder that was paused beyond
//! that moment. For engines that ignore the token, the margins below keep the
//! orders of a running holder and its successor apart. The design follows "An
//! S3 lock needs a plan for the worker that returns late".

use {
    crate::state::{clock::Time, id, pool::Fencing},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// How long a lease is valid after its last renewal.
pub const DURATION: Duration = Duration::from_secs(8);

/// Added to a lease's duration before another host takes it over, because the
/// hosts' clocks run at different rates.
pub const CLOCK_RATE_MARGIN: Duration = Duration::from_secs(1);

/// Timeout for sending one order. It is shorter than half of the lease, so that
/// an order started at the last moment is sent before the lease expires.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between renewals by the holder, and between reads by a contender.
pub const RENEWAL: Duration = Duration::from_secs(2);

/// Version that represents an object that does not exist.
const ABSENT: u64 = 0;

/// The lease object's value.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Zero if the holder has released the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    pub holder: id::Host,
    pub incarnation: id::Incarnation,
}

/// The lease object's value and version as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRecord {
    pub record: Record,
    pub version: u64,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect and created this version.
    Done { version: u64 },
    /// Another write changed the object first.
    Lost,
    /// No answer arrived; the write may have taken effect.
    Unknown,
}

/// An input of the lease's state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Whether this host is one of the pool's candidates.
    Candidate(bool),
    /// This host is stopping: it releases the lease and does not acquire it again.
    Leaving,
    /// The object was read; `None` if it does not exist.
    Read(Option<VersionedRecord>),
    /// The object could not be read.
    ReadFailed,
    /// The write that [`Next::Write`] requested has ended.
    Written(WriteResult),
}

/// The next operation to carry out for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Read the lease object.
    Read,
    /// Do nothing for now.
    Wait,
    /// Write the lease object if it has the expected version; `None` means that
    /// the object must not exist.
    Write {
        expected: Option<u64>,
        record: Record,
    },
}

/// Whether this host may send orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The host may not send orders.
    Follower,
    /// The host may send orders with this fencing token until this time.
    Holder { token: u64, until: Time },
}

/// A version of the lease object and the time at which it was first seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Observed {
    duration: Duration,
    since: Time,
    version: u64,
}

/// The operation on the lease object whose outcome has not been reported yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    None,
    Read,
    /// A write sent at this time.
    Write(Time),
}

/// One host's state machine for the lease of one pool.
#[derive(Clone, Debug)]
pub struct Lease {
    candidate: bool,
    fencing: Fencing,
    /// Version created by this host's last acquisition or renewal, and the time
    /// at which that write was sent.
    held: Option<(u64, Time)>,
    host: id::Host,
    incarnation: id::Incarnation,
    leaving: bool,
    next_poll: Time,
    pending: Pending,
    observed: Option<Observed>,
    /// Send time of a write whose outcome is unknown.
    unanswered_write: Option<Time>,
}

impl Lease {
    /// Creates the state of a host that does not hold the lease.
    pub fn new(host: id::Host, incarnation: id::Incarnation, fencing: Fencing) -> Self {
        Self {
            candidate: false,
            fencing,
            held: None,
            host,
            incarnation,
            leaving: false,
            next_poll: Time::ZERO,
            pending: Pending::None,
            observed: None,
            unanswered_write: None,
        }
    }

    /// Applies one event.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Leaving => {
                self.leaving = true;
                self.next_poll = now;
            }
            Event::Read(found) => self.handle_read(now, found),
            Event::ReadFailed => self.pending = Pending::None,
            Event::Written(written) => self.handle_written(now, written),
        }
    }

    /// Returns the next operation. The caller must carry out a read or write and
    /// report its outcome to [`Lease::handle`].
    pub fn next(&mut self, now: Time) -> Next {
        if self.pending != Pending::None || now < self.next_poll || self.idle(now) {
            return Next::Wait;
        }

        self.next_poll = now + RENEWAL;

        if self.unanswered_write.is_none()
            && let Some(next) = self.next_write(now)
        {
            self.pending = Pending::Write(now);
            return next;
        }

        self.pending = Pending::Read;
        Next::Read
    }

    /// Returns whether this host may send orders at `now`.
    pub fn role(&self, now: Time) -> Role {
        match self.held {
            Some((token, sent)) if self.wants_lease() && now < sent + self.order_window() => {
                Role::Holder {
                    token,
                    until: sent + self.order_window(),
                }
            }
            _ => Role::Follower,
        }
    }

    fn wants_lease(&self) -> bool {
        self.candidate && !self.leaving
    }

    /// Returns whether the host neither wants the lease nor has one to release.
    fn idle(&self, now: Time) -> bool {
        let holds = self.held.is_some_and(|(_, sent)| now < sent + DURATION);
        !self.wants_lease() && !holds && self.unanswered_write.is_none()
    }

    /// Returns how long after the send time of a renewal orders may start.
    fn order_window(&self) -> Duration {
        match self.fencing {
            Fencing::Enforced => DURATION - ORDER_TIMEOUT,
            Fencing::Ignored => DURATION / 2,
        }
    }

    fn next_write(&self, now: Time) -> Option<Next> {
        if let Some((token, sent)) = self.held
            && now < sent + DURATION
        {
            return Some(self.conditional_write(Some(token)));
        }

        let observed = self.observed?;
        let expected = (observed.version != ABSENT).then_some(observed.version);
        (now >= observed.since + self.takeover_delay(&observed))
            .then(|| self.conditional_write(expected))
    }

    /// Returns how long a record must stay unchanged before another host may take
    /// over the lease.
    fn takeover_delay(&self, observed: &Observed) -> Duration {
        let lease = if observed.duration.is_zero() {
            Duration::ZERO
        } else {
            observed.duration + CLOCK_RATE_MARGIN
        };

        // Without fencing, the last order of the old holder must be sent first.
        match self.fencing {
            Fencing::Enforced => lease,
            Fencing::Ignored => lease + ORDER_TIMEOUT,
        }
    }

    fn conditional_write(&self, expected: Option<u64>) -> Next {
        let releases = !self.wants_lease();

        Next::Write {
            expected,
            record: Record {
                duration: if releases { Duration::ZERO } else { DURATION },
                holder: self.host.clone(),
                incarnation: self.incarnation,
            },
        }
    }

    fn handle_read(&mut self, now: Time, found: Option<VersionedRecord>) {
        self.pending = Pending::None;

        let Some(found) = found else {
            self.unanswered_write = None;
            self.held = None;
            self.observe(now, ABSENT, Duration::ZERO);
            return;
        };

        let own = found.record.holder == self.host && found.record.incarnation == self.incarnation;

        let unchanged = self.held.is_some_and(|(token, _)| token == found.version);

        match self.unanswered_write.take() {
            // The write without an answer took effect, because the version is
            // new and this host's. The lease counts from that write's send time.
            Some(sent) if own && !unchanged && !found.record.duration.is_zero() => {
                self.held = Some((found.version, sent));
            }
            _ if unchanged => {}
            _ => self.held = None,
        }

        self.observe(now, found.version, found.record.duration);
    }

    /// Records when a version was first seen.
    fn observe(&mut self, now: Time, version: u64, duration: Duration) {
        if self
            .observed
            .is_none_or(|observed| observed.version != version)
        {
            self.next_poll = now;
            self.observed = Some(Observed {
                duration,
                since: now,
                version,
            });
        }
    }

    fn handle_written(&mut self, now: Time, written: WriteResult) {
        let Pending::Write(sent) = self.pending else {
            return;
        };

        self.pending = Pending::None;

        match written {
            WriteResult::Done { version } => self.handle_done(now, sent, version),
            WriteResult::Lost => {
                self.held = None;
                self.observed = None;
                self.next_poll = now;
            }
            WriteResult::Unknown => {
                self.unanswered_write = Some(sent);
                self.next_poll = now;
            }
        }
    }

    fn handle_done(&mut self, now: Time, sent: Time, version: u64) {
        let released = !self.wants_lease();
        self.held = (!released).then_some((version, sent));
        self.observed = Some(Observed {
            duration: if released { Duration::ZERO } else { DURATION },
            since: now,
            version,
        });
    }
}
