//! The time that the stages of a request take, and how long its next stage may
//! wait.

use {
    crate::state::{
        id,
        serving::config::{Config, Pool},
    },
    std::time::Duration,
};

/// Time from the end of the stages to a model engine's first event under
/// normal load.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(300);

/// Round trip of a call to a dispatcher in another failure domain.
const DISPATCH_ROUND_TRIP: Duration = Duration::from_millis(15);

/// Time reserved before each later stage to wait for a free endpoint. Without
/// it, jobs of a busy pool start so late that the next wait makes them miss
/// their goal.
const STAGE_QUEUE_TIME: Duration = Duration::from_millis(200);

/// Returns the time until a request without further stages has to be at an engine to
/// meet its goal.
pub fn latest_engine_start(time_to_goal: Duration) -> Duration {
    time_to_goal.saturating_sub(FIRST_EVENT_TIME)
}

/// Returns the time until the latest start of the first stage of `path` at
/// which the request can meet its goal. `path` holds the service and the number
/// of pieces of each remaining stage.
pub fn latest_start(
    config: &Config,
    path: &[(id::Pool, usize)],
    time_to_goal: Duration,
) -> Duration {
    latest_start_with(config, path, time_to_goal, |_| Duration::ZERO)
}

/// Returns the same as [`latest_start`] where later stages have a backlog, which is
/// waited for if it is longer than the time reserved for it.
pub fn latest_start_with(
    config: &Config,
    path: &[(id::Pool, usize)],
    time_to_goal: Duration,
    backlog: impl Fn(&id::Pool) -> Duration,
) -> Duration {
    let later = path.get(1..).unwrap_or_default().iter();
    let waits = later.map(|(service, _)| backlog(service).max(STAGE_QUEUE_TIME));
    let waits = waits.sum::<Duration>();
    time_to_goal.saturating_sub(calls_time(config, path) + waits + FIRST_EVENT_TIME)
}

/// Returns the time until the end of the first stage of `path` at which the
/// request can still be served within `time_to_deadline`, if no later stage has
/// to wait.
pub fn latest_end(
    config: &Config,
    path: &[(id::Pool, usize)],
    time_to_deadline: Duration,
) -> Duration {
    let later = path.get(1..).unwrap_or_default();
    time_to_deadline.saturating_sub(calls_time(config, later) + FIRST_EVENT_TIME)
}

/// Returns the time that the calls of stages take, one after the other.
pub fn calls_time(config: &Config, path: &[(id::Pool, usize)]) -> Duration {
    let times = path.iter().map(|(service, pieces)| {
        let pool = config.services.get(service);
        let pool = pool.and_then(|service| service.pool.as_ref());
        let call = pool.map_or(Duration::ZERO, |pool| stage_time(pool, *pieces));
        call + DISPATCH_ROUND_TRIP
    });
    times.sum()
}

/// Returns the time that the pieces of one stage take in calls of their own,
/// one after the other. Pieces of other requests in the same calls are not
/// counted: in a busy pool they take the place of waiting.
fn stage_time(pool: &Pool, pieces: usize) -> Duration {
    let calls = pieces.div_ceil(pool.batch.max(1)).max(1);
    let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
    pool.call * u32::try_from(calls).unwrap_or(u32::MAX) + pool.item * pieces
}
