//! Replays recorded traces of the lease and compares the holders at the end
//! with those in the trace.

use persimmoncleat::state::replay::lease_trace::Trace;

macro_rules! replay {
    ($($name:ident: $file:literal,)*) => {
        $(
            #[test]
            fn $name() {
                let text = include_str!(concat!("traces/", $file));
                let trace: Trace = serde_json::from_str(text).expect("the trace is valid");
                if let Err(violation) = trace.replay() {
                    panic!("{}: {violation}", trace.about);
                }
            }
        )*
    };
}

replay! {
    dropped_renewals_do_not_extend_the_lease: "lease-dropped-renewals.json",
    late_write_does_not_make_a_second_holder: "lease-late-write.json",
    lost_answer_is_settled_by_reading_back: "lease-lost-answer.json",
    outage_leaves_no_holder: "lease-outage.json",
    paused_holder_wakes_as_follower: "lease-paused-holder.json",
    released_lease_is_taken_at_once: "lease-released.json",
}
