//! A short seeded run, and the seeds that ever broke a promise, each with its
//! cause. A seed decides the faults and not the timing, so a test that passes
//! shows less than the test of the cause that each case names.

use {
    soak::{
        plan::Shape,
        report,
        run::{Setup, play},
    },
    std::{env, path::PathBuf, sync::atomic::AtomicBool, time::Duration},
};

/// Returns the program of the hosts, which a test of the workspace builds.
fn binary() -> PathBuf {
    let own = env::current_exe().unwrap();
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    let binary = folder.join("persimmoncleat-platform");
    assert!(binary.is_file(), "run `cargo build -p platform` first");
    binary
}

fn check(seed: u64, seconds: u64) {
    let folder = tempfile::tempdir().unwrap();
    let setup = Setup {
        binary: binary(),
        callers: 8,
        folder: folder.path().to_owned(),
        shape: Shape {
            hosts: 3,
            length: Duration::from_secs(seconds),
            seed,
            workers: 12,
        },
    };
    let outcome = play(&setup, &AtomicBool::new(false));
    let report = report::text(&setup.shape, &outcome, folder.path());
    assert!(outcome.violation.is_none(), "{report}");
}

macro_rules! seeds {
    ($($(#[$doc:meta])* $name:ident: $seed:expr, $seconds:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($seed, $seconds);
            }
        )*
    };
}

seeds! {
    /// No failure is known.
    short_run: 20_261_204, 10;
    /// Connections that came in the first second of a stop were closed
    /// (`host_that_stops_serves_what_still_arrives`).
    stop_closed_new_connections: 300, 8;
    /// The same, after every host had been killed.
    stop_closed_new_connections_after_kills: 200, 12;
}
