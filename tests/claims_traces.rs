//! Replays recorded traces of claims with faults and compares the answers to
//! callers and the number of runs with those in the trace.

use {persimmoncleat::state::replay::claims_trace::Trace, std::fs};

fn replay(name: &str) {
    let path = format!("tests/traces/claims-{}.json", name.replace('_', "-"));
    let text = fs::read_to_string(&path).unwrap();
    let trace: Trace = serde_json::from_str(&text).unwrap();
    let simulation = trace.replay().unwrap();

    assert_eq!(simulation.answers(), trace.answers, "{path}");
    assert_eq!(simulation.runs(), trace.runs, "{path}");
}

macro_rules! cases {
    ($($name:ident,)*) => {
        $(
            #[test]
            fn $name() {
                replay(stringify!($name));
            }
        )*

        /// Guards against a trace file without a test case.
        #[test]
        fn every_trace_has_a_case() {
            let mut traces = fs::read_dir("tests/traces")
                .unwrap()
                .filter_map(|entry| entry.unwrap().file_name().into_string().ok())
                .filter_map(|name| {
                    let name = name.strip_prefix("claims-")?.strip_suffix(".json")?;
                    Some(name.replace('-', "_"))
                })
                .collect::<Vec<String>>();
            traces.sort();
            assert_eq!(traces, [$(stringify!($name)),*]);
        }
    };
}

cases! {
    all_hosts_after_grant,
    all_hosts_at_once,
    duplicated_messages,
    endpoint_dies,
    endpoint_refuses,
    home_and_witness_restarted,
    home_frozen_after_grant,
    home_frozen_after_record,
    home_frozen_after_send,
    home_frozen_before_record,
    home_record_expired,
    home_restarted_after_grant,
    link_cut_home_witness,
    no_witness,
    ticket_expired,
    void_forgotten,
    witness_full_keeps_grant,
    witness_full_void,
    witness_killed,
    witness_restarted,
}
