//! Decides which callers are disconnected because they do not read their answers.
//!
//! A caller makes progress when its socket accepts bytes. A caller is disconnected if
//! bytes have waited for it without progress for the stall time. While the memory for
//! bodies is nearly used up, the callers without progress for the longest time are
//! disconnected earlier, until their bytes make up for the excess.

use {
    crate::{state::clock::Time, transport::http::outbox::Backlog},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time without progress from which a caller may be disconnected to free memory.
/// Callers that read at once lose this much time when a packet is lost and sent again.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(300);

/// Maximum time between two checks that counts as time without progress. In the rest
/// the host itself was held up, and callers could not make progress.
const MAX_CHECK_GAP: Duration = Duration::from_millis(200);

/// Reason for disconnecting a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The memory for bodies is nearly used up, and no caller has been without progress
    /// for longer.
    Memory,
    /// The caller has made no progress for the stall time.
    Stalled,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Stalled => "stalled",
        }
    }
}

/// A caller to disconnect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    pub cause: Cause,
    /// Time without progress.
    pub idle: Duration,
    pub number: u64,
    pub peer: SocketAddr,
    /// Bytes that wait for the caller.
    pub waiting: usize,
}

#[derive(Debug)]
struct Caller {
    /// The bytes of its answers that wait. There are several while the end of an
    /// answer is being written and the next one begins.
    backlogs: Vec<Backlog>,
    peer: SocketAddr,
    /// Time of the last progress, or since when bytes wait.
    progress: Time,
    /// Whether bytes waited at the last check.
    waited: bool,
}

impl Caller {
    fn waiting(&self) -> usize {
        self.backlogs.iter().map(Backlog::waiting).sum()
    }
}

/// The callers that are connected, by number.
#[derive(Debug, Default)]
pub struct Ledger {
    callers: BTreeMap<u64, Caller>,
    /// Time of the last check.
    checked: Option<Time>,
    next: u64,
}

impl Ledger {
    /// Adds a caller and returns its number.
    pub fn connect(&mut self, now: Time, peer: SocketAddr) -> u64 {
        let number = self.next;
        self.next += 1;
        let caller = Caller {
            backlogs: Vec::new(),
            peer,
            progress: now,
            waited: false,
        };
        self.callers.insert(number, caller);
        number
    }

    /// Removes a caller.
    pub fn disconnect(&mut self, number: u64) {
        self.callers.remove(&number);
    }

    /// Adds the backlog of a caller's next answer.
    pub fn begin_answer(&mut self, number: u64, backlog: Backlog) {
        if let Some(caller) = self.callers.get_mut(&number) {
            caller.backlogs.retain(|backlog| backlog.waiting() > 0);
            caller.backlogs.push(backlog);
        }
    }

    /// Records that a caller's socket accepted bytes.
    pub fn record_progress(&mut self, now: Time, number: u64) {
        if let Some(caller) = self.callers.get_mut(&number) {
            caller.progress = now;
        }
    }

    /// Returns the bytes that wait for all callers.
    pub fn waiting(&self) -> usize {
        self.callers.values().map(Caller::waiting).sum()
    }

    /// Returns the callers to disconnect, the longest without progress first. `stall`
    /// is the stall time, and `excess` the number of bytes by which the memory for
    /// bodies should shrink.
    ///
    /// The stall time counts from the first check at which bytes wait, so that it is
    /// never shorter than `stall`.
    pub fn check(&mut self, now: Time, stall: Duration, excess: usize) -> Vec<Verdict> {
        let gap = self.checked.map_or(Duration::ZERO, |last| now.since(last));
        let held_up = gap.saturating_sub(MAX_CHECK_GAP);
        self.checked = Some(now);
        let mut idle: Vec<Verdict> = Vec::new();

        for (number, caller) in &mut self.callers {
            let waiting = caller.waiting();
            caller.progress = (caller.progress + held_up).min(now);

            if waiting > 0 && !caller.waited {
                caller.progress = now;
            }

            caller.waited = waiting > 0;

            if waiting > 0 {
                idle.push(Verdict {
                    cause: Cause::Stalled,
                    idle: now.since(caller.progress),
                    number: *number,
                    peer: caller.peer,
                    waiting,
                });
            }
        }

        idle.sort_by_key(|verdict| Reverse(verdict.idle));
        let mut freed = 0;
        idle.retain_mut(|verdict| {
            let stalled = verdict.idle >= stall;
            let pressed = freed < excess && verdict.idle >= MIN_IDLE_TIME;

            if !stalled {
                verdict.cause = Cause::Memory;
            }

            if stalled || pressed {
                freed += verdict.waiting;
            }

            stalled || pressed
        });
        idle
    }
}
