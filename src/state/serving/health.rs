//! Passive health checking: derives the health of an endpoint from the results
//! of the calls sent to it.

use {
    crate::state::{clock::Time, serving::limit::Limit},
    std::time::Duration,
};

/// Number of consecutive failures after which an endpoint is paused.
const FAILURES_TO_PAUSE: u32 = 2;

/// Smoothed call duration, relative to the expected one, above which an
/// endpoint is used only when no other one is free.
const SLOW_RATIO: f64 = 2.5;

/// Weight of the newest call in the moving average of the latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.3;

/// First pause after failures. Doubles with each further pause.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Maximum number of doublings of a pause. The resulting 4 s are shorter than
/// the time until a crashed worker is removed from the roster, so that one that
/// recovered is used again soon.
const MAX_DOUBLINGS: u32 = 3;

/// Pause after an endpoint reported that it is full. Its queue drains within
/// one call.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which an endpoint can turn this host away with one refusal.
const MAX_DEFERRAL: Duration = Duration::from_secs(600);

/// The health of one endpoint, as observed by its calls.
#[derive(Clone, Debug)]
pub struct Health {
    /// Until when the endpoint wants no requests from this host.
    deferred_until: Time,
    /// Number of doublings of the next pause.
    doublings: u32,
    /// Number of consecutive failures.
    failures: u32,
    paused_until: Time,
    /// Moving average of call durations, relative to the expected ones.
    latency_ratio: f64,
    /// The requests that the endpoint takes, while it names a number.
    limit: Option<Limit>,
}

/// What an endpoint says in an answer of the requests that it takes.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// Number of hosts that share the rate.
    pub hosts: usize,
    /// Requests a second from all hosts together, if it names a number.
    pub rate: Option<f64>,
    /// When the answered request was sent.
    pub sent: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            deferred_until: Time::ZERO,
            doublings: 0,
            failures: 0,
            paused_until: Time::ZERO,
            latency_ratio: 1.0,
            limit: None,
        }
    }
}

impl Health {
    /// Returns whether the endpoint is paused, deferred or limited.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until || self.is_deferred(now)
    }

    /// Returns whether the endpoint wants no requests from this host now.
    pub fn is_deferred(&self, now: Time) -> bool {
        let limited = self.limit.as_ref().is_some_and(|limit| !limit.allows(now));
        limited || now < self.deferred_until
    }

    /// Returns until when the endpoint wants no requests from this host.
    pub fn deferred_until(&self, now: Time) -> Time {
        let limited = self
            .limit
            .as_ref()
            .map_or(Time::ZERO, |limit| limit.next(now));
        limited.max(self.deferred_until)
    }

    /// Returns whether the endpoint takes no requests now, apart from its limit.
    pub fn is_closed(&self, now: Time) -> bool {
        now < self.paused_until || now < self.deferred_until
    }

    /// Returns the requests a second that this host may send, if they are limited.
    pub fn max_rate(&self) -> Option<f64> {
        self.limit.as_ref().map(Limit::share)
    }

    /// Returns whether the endpoint wants no requests or only some, also if its entry
    /// lapses and comes back.
    pub fn is_kept(&self, now: Time) -> bool {
        let limited = self.limit.as_ref().is_some_and(|limit| limit.is_kept(now));
        limited || now < self.deferred_until
    }

    /// Returns whether calls take much longer than expected.
    pub fn is_slow(&self) -> bool {
        self.latency_ratio > SLOW_RATIO
    }

    /// Returns the smoothed duration of calls, relative to the expected one.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Records a successful call that took `ratio` times the expected duration.
    pub fn record_success(&mut self, ratio: f64) {
        self.doublings = 0;
        self.failures = 0;
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - self.latency_ratio);
    }

    /// Records a failed call and returns whether it pauses the endpoint.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;

        if self.failures < FAILURES_TO_PAUSE {
            return false;
        }

        self.pause(now);
        true
    }

    /// Records a connection that could not be established and pauses the
    /// endpoint.
    pub fn record_unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(FAILURES_TO_PAUSE);
        self.pause(now);
    }

    /// Records that the endpoint refused a call because it is full, and pauses
    /// the endpoint.
    pub fn record_full(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }

    /// Records that the endpoint wants no requests from this host for a time. A
    /// shorter time does not end a longer one.
    pub fn defer(&mut self, now: Time, time: Duration) {
        let until = now + time.min(MAX_DEFERRAL);
        self.deferred_until = self.deferred_until.max(until);
    }

    /// Records what an answer says of the requests that the endpoint takes. Returns
    /// whether that has changed. Only the answer to a request that was sent after the
    /// limit was last named ends it: answers overtake each other.
    pub fn record_notice(&mut self, now: Time, notice: Notice) -> bool {
        match (&mut self.limit, notice.rate) {
            (Some(limit), Some(rate)) => {
                let changed = limit.rate() != rate;
                limit.renew(now, rate, notice.hosts);
                changed
            }
            (Some(limit), None) if notice.sent > limit.named() => {
                self.limit = None;
                true
            }
            (None, Some(rate)) => {
                let phase = rand::random::<f64>();
                self.limit = Some(Limit::new(now, rate, notice.hosts, phase));
                true
            }
            (_, None) => false,
        }
    }

    /// Records a request that was sent to the endpoint.
    pub fn record_request(&mut self, now: Time) {
        if let Some(limit) = &mut self.limit {
            limit.record_request(now);
        }
    }

    /// Records that a call is still running after `ratio` times the expected
    /// duration. A ratio below the current one is ignored, since it is only
    /// a lower bound.
    pub fn record_lower_bound(&mut self, ratio: f64) {
        if ratio > self.latency_ratio {
            self.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - self.latency_ratio);
        }
    }

    fn pause(&mut self, now: Time) {
        self.paused_until = now + FIRST_PAUSE * 2u32.pow(self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }
}
