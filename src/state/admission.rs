//! Decides at arrival whether a request can finish in time.

use {
    crate::state::{
        clock::Time, fair_queue::Flow, inventory::Inventory, pool_state::PoolState,
        request::Request, tuning::Tuning,
    },
    std::time::Duration,
};

/// Least time between two probes of one pool.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a pool that is taken to be spare for refused work that comes back.
const RETRY_CAPACITY: f64 = 0.1;
/// Bounds of the time after which a refused caller may try again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(60));

/// When a request is expected to finish.
#[derive(Clone, Copy, Debug)]
pub struct Finish {
    /// Pool that the request waits for longest.
    pub bottleneck: usize,
    /// Time in all stages without queues, at about the 95th percentile.
    pub service: Duration,
    /// Estimated time in the bottleneck's queue.
    pub uncorrected_wait: Duration,
    /// Time in queues, corrected by the measured error of earlier estimates.
    pub wait: Duration,
}

/// The verdict on a request.
#[derive(Clone, Copy, Debug)]
pub enum Verdict {
    /// It is expected to finish in time.
    Accepted,
    /// It is late even without a queue, but is let through so that the
    /// estimates of this pool can recover.
    Probe { pool: usize },
    /// It would finish late.
    Late { by: Duration },
}

/// Estimates the finish of a request that arrives now. `share` is this host's
/// part of all demand.
///
/// The ledger of a later pool holds the work that is still in earlier stages,
/// so waits overlap and only the longest counts. Deviations of the stages are
/// taken as independent.
pub fn estimate_finish(
    inventory: &Inventory,
    pools: &[usize],
    now: Time,
    request: &Request,
    flow: &Flow,
    share: f64,
    tuning: &Tuning,
) -> Finish {
    let mut bottleneck = pools.first().copied().unwrap_or(0);
    let mut longest = 0.0;
    let mut uncorrected_wait = 0.0;
    let mut service = 0.0;
    let mut variance = 0.0;

    for index in pools {
        let pool = &inventory.pools[*index];
        let size = pool.size_of(request);
        let median = pool.estimates.median(size).as_secs_f64();
        let high = pool.estimates.p95(size).as_secs_f64();
        let margin = if pool.ledger.contested(now, flow.priority) {
            tuning.admission_margin_contested
        } else {
            tuning.admission_margin
        };
        let estimated = pool.ledger.wait(now, flow, pool.slots(share));
        let wait = estimated * pool.forecast.factor(flow.priority, margin);

        if wait > longest {
            bottleneck = *index;
            longest = wait;
            uncorrected_wait = estimated;
        }

        service += median;
        variance += (high - median).max(0.0).powi(2);
    }

    Finish {
        bottleneck,
        service: Duration::from_secs_f64(service + variance.sqrt()),
        uncorrected_wait: Duration::from_secs_f64(uncorrected_wait.min(1e6)),
        wait: Duration::from_secs_f64(longest.min(1e6)),
    }
}

/// Judges a request by its estimated finish and its longest time in a queue.
pub fn assess(
    inventory: &Inventory,
    pools: &[usize],
    finish: Finish,
    now: Time,
    deadline: Time,
    queue_time: Duration,
) -> Verdict {
    let left = deadline.since(now);
    let needed = finish.service + finish.wait;
    let by = needed
        .saturating_sub(left)
        .max(finish.wait.saturating_sub(queue_time));

    if by.is_zero() {
        return Verdict::Accepted;
    }

    if finish.wait.is_zero() {
        let probe = pools
            .iter()
            .max_by_key(|index| inventory.pools[**index].estimates.overall_mean());

        if let Some(pool) = probe
            && inventory.pools[*pool]
                .probed
                .is_none_or(|last| now.since(last) >= PROBE_INTERVAL)
        {
            return Verdict::Probe { pool: *pool };
        }
    }

    Verdict::Late { by }
}

/// Returns when a refused caller may try again. `jitter` is a random number
/// between 0 and 1.
///
/// Refused work comes back. It is spread over the time that the pool's spare
/// calls need for it; a fixed time would bring all of it back at once, as a
/// second burst.
pub fn retry_after(
    pool: &mut PoolState,
    now: Time,
    request: &Request,
    flow: &Flow,
    by: Duration,
    share: f64,
    jitter: f64,
) -> Duration {
    let work = pool.estimates.mean(pool.size_of(request)).as_secs_f64();
    pool.refused.add(now, work);
    pool.ledger.refuse(now, flow, work);
    let spare = pool.slots(share) * RETRY_CAPACITY;
    let spread = pool.refused.amount(now) / spare * jitter;
    let wait = by + Duration::from_secs_f64(spread.min(1e3));
    wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}
