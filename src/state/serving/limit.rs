//! This host's share of the rate that an endpoint takes from all hosts together.
//!
//! Hosts do not know how much each of them has sent. Each has equal shares of the
//! rate, as slots at regular intervals that begin at a random time. A slot expires
//! soon: hosts that saved theirs could all use them at the same moment.

use {crate::state::clock::Time, std::time::Duration};

/// Part of the rate that many hosts share. Their slots are further apart than a few
/// seconds and fall on random times, so some seconds have far more of them than others.
const SHARED_PART: f64 = 0.7;

/// Largest number of hosts that share the whole rate. With each host's slots at
/// regular intervals, theirs are spread evenly enough.
const FEW_HOSTS: usize = 12;

/// Time for which a slot may be used.
const SLOT_TIME: Duration = Duration::from_millis(1000);

/// Lowest rate of all hosts together, in requests a second. Only an answer shows
/// that an endpoint takes more again.
const MIN_RATE: f64 = 0.25;

/// Time for which a limit is kept without an answer that names it.
const KEPT_TIME: Duration = Duration::from_secs(60);

/// The requests that this host may send to an endpoint that has named a limit.
#[derive(Clone, Debug)]
pub struct Limit {
    interval: Duration,
    named: Time,
    /// The first slot that has not been used and has not expired.
    slot: Time,
    rate: f64,
}

impl Limit {
    /// Creates the share of one of `hosts` hosts in `rate` requests a second.
    /// `phase` is a random number from 0 to 1.
    pub fn new(now: Time, rate: f64, hosts: usize, phase: f64) -> Self {
        let interval = interval(rate, hosts);

        Self {
            interval,
            named: now,
            slot: now + interval.mul_f64(phase),
            rate,
        }
    }

    /// Returns the requests a second that the endpoint takes from all hosts.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the requests a second that this host may send.
    pub fn share(&self) -> f64 {
        1.0 / self.interval.as_secs_f64()
    }

    /// Returns when an answer last named the limit.
    pub fn named(&self) -> Time {
        self.named
    }

    /// Returns whether the limit was named recently enough to be kept for an
    /// endpoint that is not listed.
    pub fn is_kept(&self, now: Time) -> bool {
        now.since(self.named) < KEPT_TIME
    }

    /// Records another answer that names a limit. The wait for the next slot changes
    /// with the interval.
    pub fn renew(&mut self, now: Time, rate: f64, hosts: usize) {
        let slot = self.next(now);
        let interval = interval(rate, hosts);
        let ratio = interval.as_secs_f64() / self.interval.as_secs_f64();
        let wait = slot.since(now).mul_f64(ratio);

        *self = Self {
            interval,
            named: now,
            slot: if now < slot { now + wait } else { slot },
            rate,
        };
    }

    /// Returns the first slot that may still be used. It may be in the future.
    pub fn next(&self, now: Time) -> Time {
        let expired = now.before(SLOT_TIME).since(self.slot).as_micros();
        let passed = expired.div_ceil(self.interval.as_micros().max(1));
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.slot + self.interval.saturating_mul(passed)
    }

    /// Returns whether this host may send a request now.
    pub fn allows(&self, now: Time) -> bool {
        self.next(now) <= now
    }

    /// Records a request, which uses the next slot.
    pub fn record_request(&mut self, now: Time) {
        self.slot = self.next(now) + self.interval;
    }
}

fn interval(rate: f64, hosts: usize) -> Duration {
    let part = if hosts <= FEW_HOSTS { 1.0 } else { SHARED_PART };
    let share = rate.max(MIN_RATE) * part / hosts.max(1) as f64;
    Duration::try_from_secs_f64(1.0 / share)
        .unwrap_or_default()
        .max(Duration::from_micros(1))
}
