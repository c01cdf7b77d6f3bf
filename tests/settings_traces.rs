//! Replays recorded traces of settings replicas. Each guards against the fault
//! that its name describes.

use {
    persimmoncleat::state::replay::settings_trace::{Simulation, Step},
    std::{fs, path::Path},
};

fn replay(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(format!("settings-{}.json", name.replace('_', "-")));
    let steps = serde_json::from_slice::<Vec<Step>>(&fs::read(path).unwrap()).unwrap();
    let mut simulation = Simulation::default();

    for step in steps.iter().chain([&Step::Settle]) {
        simulation
            .step(step)
            .unwrap_or_else(|violation| panic!("{violation}"));
    }
}

macro_rules! traces {
    ($($name:ident,)*) => {
        $(
            #[test]
            fn $name() {
                replay(stringify!($name));
            }
        )*
    };
}

traces! {
    change_missed_by_the_watch,
    every_peer_fails,
    late_creation_below_the_floor,
    late_creation_seen_by_watch,
    lost_race_with_a_value_set_back,
    operation_submitted_twice,
    outcome_older_than_the_log,
    refused_after_a_lost_creation,
}
