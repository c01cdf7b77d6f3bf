//! Admission control: estimates at arrival whether a request can finish before
//! its deadline.

use {
    crate::state::{
        clock::Time, fair_queue::Flow, inventory::Inventory, pool_state::PoolState,
        request::Request, tuning::Tuning,
    },
    std::time::Duration,
};

/// Minimum time between two probes of one pool.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of a pool's capacity that is assumed to be free for retries of
/// refused requests.
const RETRY_CAPACITY: f64 = 0.1;
/// Lower and upper bound of the retry delay returned to a refused caller.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(60));

/// The estimated service and queueing times of a request.
#[derive(Clone, Copy, Debug)]
pub struct FinishEstimate {
    /// Index of the pool with the longest estimated wait.
    pub bottleneck: usize,
    /// Service time of all stages without queueing, at about the 95th
    /// percentile.
    pub service: Duration,
    /// Estimated wait in the bottleneck's queue, before correction.
    pub uncorrected_wait: Duration,
    /// The same wait, corrected by the measured error of earlier estimates.
    pub wait: Duration,
}

/// The admission decision for a request.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// The request is expected to finish in time.
    Accepted,
    /// The request would be late even without a queue, but is admitted so that
    /// new measurements can correct the estimates of this pool.
    Probe { pool: usize },
    /// The request would exceed its deadline or its queue time by this much.
    Late { by: Duration },
}

/// Estimates the service and queueing times of a request that arrives now.
/// `share` is this host's fraction of the total demand.
///
/// The ledger of a later pool includes the work that is still in earlier
/// stages, so the waits overlap and only the longest counts. The deviations of
/// the stages' service times are assumed to be independent.
pub fn estimate_finish(
    inventory: &Inventory,
    pools: &[usize],
    now: Time,
    request: &Request,
    flow: &Flow,
    share: f64,
    tuning: &Tuning,
) -> FinishEstimate {
    let mut bottleneck = pools.first().copied().unwrap_or(0);
    let mut longest = 0.0;
    let mut uncorrected_wait = 0.0;
    let mut service = 0.0;
    let mut variance = 0.0;

    for index in pools {
        let pool = &inventory.pools[*index];
        let size = pool.size_of(request);
        let median = pool.service_times.median(size).as_secs_f64();
        let high = pool.service_times.p95(size).as_secs_f64();
        let margin = if pool.ledger.contested(now, flow.priority) {
            tuning.admission_margin_contested
        } else {
            tuning.admission_margin
        };
        let estimated = pool.ledger.wait(now, flow, pool.slots(share));
        let wait = estimated * pool.wait_correction.factor(flow.priority, margin);

        if wait > longest {
            bottleneck = *index;
            longest = wait;
            uncorrected_wait = estimated;
        }

        service += median;
        variance += (high - median).max(0.0).powi(2);
    }

    FinishEstimate {
        bottleneck,
        service: Duration::from_secs_f64(service + variance.sqrt()),
        uncorrected_wait: Duration::from_secs_f64(uncorrected_wait.min(1e6)),
        wait: Duration::from_secs_f64(longest.min(1e6)),
    }
}

/// Decides on admission from the estimated times, the deadline and the longest
/// time allowed in a queue.
pub fn assess(
    inventory: &Inventory,
    pools: &[usize],
    finish: FinishEstimate,
    now: Time,
    deadline: Time,
    queue_time: Duration,
) -> Decision {
    let left = deadline.since(now);
    let needed = finish.service + finish.wait;
    let by = needed
        .saturating_sub(left)
        .max(finish.wait.saturating_sub(queue_time));

    if by.is_zero() {
        return Decision::Accepted;
    }

    if finish.wait.is_zero() {
        let probe = pools
            .iter()
            .max_by_key(|index| inventory.pools[**index].service_times.overall_mean());

        if let Some(pool) = probe
            && inventory.pools[*pool]
                .probed
                .is_none_or(|last| now.since(last) >= PROBE_INTERVAL)
        {
            return Decision::Probe { pool: *pool };
        }
    }

    Decision::Late { by }
}

/// Records a refused request and returns the delay after which its caller may
/// retry. `jitter` is a random number between 0 and 1.
///
/// Retries are spread over the time that the pool's free capacity needs to
/// serve all work refused recently. A fixed delay would make every caller retry
/// at once and cause a second burst.
pub fn retry_after(
    pool: &mut PoolState,
    now: Time,
    request: &Request,
    flow: &Flow,
    by: Duration,
    share: f64,
    jitter: f64,
) -> Duration {
    let work = pool.service_times.mean(pool.size_of(request)).as_secs_f64();
    pool.refused.add(now, work);
    pool.ledger.record_refused(now, flow, work);
    let spare = pool.slots(share) * RETRY_CAPACITY;
    let spread = pool.refused.amount(now) / spare * jitter;
    let wait = by + Duration::from_secs_f64(spread.min(1e3));
    wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}
