//! Replays recorded traces of the scheduler, checked by its oracle.

use persimmoncleat::state::{replay::scheduler_trace::Simulation, tuning::Tuning};

macro_rules! traces {
  ($($name:ident: $file:literal,)*) => {
    $(
      #[test]
      fn $name() {
        let steps: Vec<_> = serde_json::from_str(include_str!(concat!("traces/", $file)))
          .expect("the trace is a list of steps");
        let mut simulation = Simulation::new(1, Tuning::default()).expect("an empty simulation violates no rule");

        for (index, step) in steps.iter().enumerate() {
          if let Err(violation) = simulation.step(step) {
            panic!("step {index}, {step:?}: {violation}");
          }
        }
      }
    )*
  };
}

traces! {
    // An endpoint that returns at the same address must receive requests again.
    endpoint_returns: "scheduler-endpoint-returns.json",
    // An attempt whose end is being reported must not be hedged.
    late_hedge: "scheduler-late-hedge.json",
    // A request that is not repeatable must not be sent again after its
    // connection broke.
    lost_booking: "scheduler-lost-booking.json",
    // When a pool is full, queued requests must be refused in time, with the
    // correct outcome.
    queue_expires: "scheduler-queue-expires.json",
}
