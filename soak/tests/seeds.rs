//! Guards against regressions of seeds that have violated a guarantee, and
//! covers a short run of another seed. A seed determines the faults but not the
//! timing, so a failure may not recur; the test that a case names reproduces
//! its cause.

use {
    soak::{
        plan::Parameters,
        report,
        run::{Setup, run_seed},
    },
    std::{env, path::PathBuf, sync::atomic::AtomicBool, time::Duration},
};

/// Returns the path of the hosts' program, which is built along with the tests
/// of the workspace.
fn binary() -> PathBuf {
    let own = env::current_exe().unwrap();
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    let binary = folder.join("persimmoncleat-platform");
    assert!(binary.is_file(), "run `cargo build -p platform` first");
    binary
}

fn check(seed: u64, seconds: u64, restores: bool) {
    let folder = tempfile::tempdir().unwrap();
    let setup = Setup {
        binary: binary(),
        callers: 8,
        folder: folder.path().to_owned(),
        parameters: Parameters {
            hosts: 3,
            length: Duration::from_secs(seconds),
            restores,
            seed,
            workers: 12,
        },
    };
    let outcome = run_seed(&setup, &AtomicBool::new(false));
    let report = report::text(&setup.parameters, &outcome, folder.path());
    assert!(outcome.violation.is_none(), "{report}");
}

macro_rules! seeds {
    ($($(#[$doc:meta])* $name:ident: $seed:expr, $seconds:expr, restores $restores:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check($seed, $seconds, $restores);
            }
        )*
    };
}

seeds! {
    /// Has no known failure.
    short_run: 20_261_204, 10, restores false;
    /// Has no known failure.
    short_run_with_restores: 20_261_207, 15, restores true;
    /// A stopping host closed connections that arrived in the first second of
    /// the stop (`stopping_host_serves_new_requests`).
    stop_closed_new_connections: 300, 8, restores false;
    /// The same failure, after every host had been killed.
    stop_closed_new_connections_after_kills: 200, 12, restores false;
    /// A piece got each input twice beside an omitted stage
    /// (`piece_gets_each_input_once_if_a_stage_between_is_omitted`).
    inputs_given_twice: 1001, 8, restores false;
    /// A restarted host's request got the outputs of its earlier process's request
    /// (`killed_host_gives_each_request_its_own_outputs`).
    outputs_of_an_earlier_process: 2116, 12, restores false;
    /// A worker's faults were left after their end, so that a stream broke off without a
    /// disturbance. This was a fault of the soak.
    faults_left_after_their_end: 44_212, 20, restores true;
}
