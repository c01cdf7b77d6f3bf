//! Estimates how fast a full pool gets through what waits before it.

/// Longest wait that is told apart from a longer one, in seconds.
const MAX_WAIT_SECONDS: f64 = 600.0;
/// Halvings of the interval that holds the wait; leaves less than 1 ms.
const BISECTION_STEPS: u32 = 20;

/// Calls in progress of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    pub count: f64,
    /// Mean service time in seconds.
    pub service: f64,
}

/// The calls that a host can run at a time in one pool, and what holds them
/// now.
#[derive(Clone, Debug)]
pub struct Drain {
    /// Calls that can start at once.
    pub free: f64,
    pub groups: Vec<Group>,
    /// Part of the calls that serves the work in question.
    pub fraction: f64,
    /// Work in seconds that arrives each second and goes first.
    pub preferred_rate: f64,
}

impl Drain {
    /// Returns the seconds until `work` seconds of service have started.
    ///
    /// A call in progress of service time `s` is taken to end at any moment of
    /// the next `s` seconds, equally likely. Long calls thus hold back what
    /// waits behind them, although the long-term rate is the same.
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

    /// Returns the service that can have been given after `wait` seconds.
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
