//! Replays recorded traces against the scheduler's oracle.

use persimmoncleat::state::{replay::scheduler_trace::Simulation, tuning::Tuning};

macro_rules! traces {
  ($($name:ident: $file:literal,)*) => {
    $(
      #[test]
      fn $name() {
        let steps: Vec<_> = serde_json::from_str(include_str!(concat!("traces/", $file)))
          .expect("the trace is a list of steps");
        let mut simulation = Simulation::new(1, Tuning::default()).expect("an empty world breaks no rule");

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
    // A returning endpoint at the same address must get work again.
    endpoint_returns: "scheduler-endpoint-returns.json",
    // An attempt whose end is being reported must not be hedged.
    late_hedge: "scheduler-late-hedge.json",
    // A booking whose connection broke must never be sent again.
    lost_booking: "scheduler-lost-booking.json",
    // A full pool must give up on queued work in time, with the right outcome.
    queue_expires: "scheduler-queue-expires.json",
}
