//! The course of a host's planned stop.
//!
//! Callers learn of the stop when the directory's answer that they have cached
//! expires, and the process has to end before the grace period does. In between,
//! every request has to get an answer: those that an endpoint has are finished,
//! and those that no endpoint can finish in time are refused as not run, while
//! their callers can still go to another host.

use std::time::Duration;

/// Time before the end of the grace period at which the process exits even if
/// work is in progress.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit at which requests without an answer get one of the host's
/// own, so that it still reaches their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Time for which callers may still use the address of a stopping host: until
/// the directory response that they have cached expires.
const ADDRESS_LIFETIME: Duration = Duration::from_millis(2500);

/// Time that an endpoint takes for a request: that of a long stream. A request that
/// no endpoint has by then is refused.
const RUN_TIME: Duration = Duration::from_millis(2000);

/// Largest share of the grace period that is kept for [`RUN_TIME`].
const MAX_RUN_SHARE: u32 = 4;

/// Time before the end of the grace period from which on a stopping host
/// accepts no request: the longest goal and the time of a stream.
const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(4500);

/// Interval between checks of a request that an endpoint has. If the endpoint
/// refuses it, it may still be refused as not run.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The next step of a stopping host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Callers may still send requests, or work is in progress.
    Wait,
    /// No work is in progress, so the connections can be closed.
    Close,
    /// The grace period is over.
    End,
}

/// What a stopping host does with a request that has no answer yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Give the host's own answer.
    Answer,
    /// Check again after this time.
    Wait(Duration),
}

/// A moment of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Time since the stop began.
    elapsed: Duration,
    grace: Duration,
}

impl Stop {
    /// Returns the moment at which this time has passed since the stop began.
    pub const fn new(elapsed: Duration, grace: Duration) -> Self {
        Self { elapsed, grace }
    }

    /// Returns the next step of the host, given the amount of work in progress.
    pub fn next(self, work: usize) -> Next {
        if self.until_end().is_zero() {
            Next::End
        } else if self.elapsed >= ADDRESS_LIFETIME && work == 0 {
            Next::Close
        } else {
            Next::Wait
        }
    }

    /// Returns whether the host accepts a request at all.
    pub fn is_open(self) -> bool {
        self.elapsed <= self.grace.saturating_sub(LAST_REQUEST_MARGIN)
    }

    /// Returns whether the host accepts a request that may last this long. Callers
    /// that may not have learnt of other hosts yet are not turned away for this.
    pub fn accepts(self, remaining: Duration) -> bool {
        self.elapsed < ADDRESS_LIFETIME || remaining <= self.until_end()
    }

    /// Returns the time until an endpoint must have a request for it to be finished.
    pub fn until_last_start(self) -> Duration {
        let run_time = RUN_TIME.min(self.grace / MAX_RUN_SHARE);
        self.until_end().saturating_sub(run_time)
    }

    /// Returns what to do with a request that has no answer yet.
    pub fn step(self, may_have_run: bool) -> Step {
        let last_start = self.until_last_start();
        let last_answer = self.until_end().saturating_sub(ANSWER_MARGIN);

        if last_answer.is_zero() || (last_start.is_zero() && !may_have_run) {
            Step::Answer
        } else if last_start.is_zero() {
            Step::Wait(last_answer.min(CHECK_INTERVAL))
        } else {
            Step::Wait(last_start)
        }
    }

    fn until_end(self) -> Duration {
        let end = self.grace.saturating_sub(END_MARGIN);
        end.saturating_sub(self.elapsed)
    }
}
