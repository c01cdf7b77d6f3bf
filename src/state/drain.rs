//! Estimates how long the queue of a busy pool takes to drain.

/// Upper bound of estimated waits, in seconds.
const MAX_WAIT_SECONDS: f64 = 600.0;
/// Bisections of the interval `0..MAX_WAIT_SECONDS`; they narrow it to less
/// than 1 ms.
const BISECTION_STEPS: u32 = 20;

/// A group of calls in progress and their mean service time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    pub count: f64,
    /// Mean service time in seconds.
    pub service: f64,
}

/// The calls that one host can run concurrently in a pool, and the calls that
/// occupy them now.
#[derive(Clone, Debug)]
pub struct Drain {
    /// Number of calls that can start immediately.
    pub free: f64,
    pub groups: Vec<Group>,
    /// Fraction of the capacity that serves the work whose wait is estimated.
    pub fraction: f64,
    /// Rate at which work that is served first arrives, in seconds of service
    /// per second.
    pub preferred_rate: f64,
}

impl Drain {
    /// Returns the estimated seconds until `work` seconds of service have
    /// started.
    ///
    /// A call in progress with service time `s` is assumed to end at a
    /// uniformly distributed time within the next `s` seconds. Long calls
    /// therefore delay the queue behind them, although the long-term rate is
    /// the same.
    pub fn wait(&self, work: f64) -> f64 {
        if work <= 0.0 && self.free >= 1.0 {
            return 0.0;
        }

        let (mut low, mut high) = (0.0, MAX_WAIT_SECONDS);

        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;

            if self.capacity_after(middle) > work {
                high = middle;
            } else {
                low = middle;
            }
        }

        high
    }

    /// Returns the seconds of service that can be provided within `wait`
    /// seconds.
    fn capacity_after(&self, wait: f64) -> f64 {
        let freed = self.groups.iter().map(|group| {
            let service = group.service.max(1e-6);

            if wait < service {
                group.count * wait * wait / (2.0 * service)
            } else {
                group.count * (wait - service / 2.0)
            }
        });

        (self.free * wait + freed.sum::<f64>()) * self.fraction - self.preferred_rate * wait
    }
}
