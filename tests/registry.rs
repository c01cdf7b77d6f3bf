//! Tests of the endpoint registry. They guard against new work for endpoints that
//! are leaving while the host list lags, and against subsets of endpoints that
//! change more than the pool.

use {
    persimmoncleat::state::{
        clock::Time,
        endpoint::{Endpoint, Phase},
        id,
        registry::{LEAVING_MARK_LIFETIME, Registry},
        subset::subset,
    },
    std::time::Duration,
};

fn endpoint(name: &str, phase: Phase) -> Endpoint {
    Endpoint {
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        domain: "is-1".into(),
        endpoint: name.into(),
        phase,
        pool: "generate".into(),
    }
}

enum Step {
    /// A host list of this revision shows the endpoint in this phase, or not at
    /// all.
    List(u64, Option<Phase>),
    /// A report of the endpoint arrives late: it was sent at time zero.
    LateReport(Phase),
    /// A report of the endpoint arrives at once.
    Report(Phase),
    /// Time passes.
    Wait(Duration),
}

use Step::{LateReport, List, Report, Wait};

const SECOND: Duration = Duration::from_secs(1);

fn phase(history: &[Step]) -> Option<Phase> {
    let mut registry = Registry::default();
    let mut now = Time::ZERO;

    for step in history {
        match step {
            List(revision, phase) => {
                let endpoints = phase.map(|phase| endpoint("e1", phase));
                registry.update(now, *revision, endpoints.into_iter().collect());
            }
            LateReport(phase) => registry.report_phase(Time::ZERO, &"e1".into(), *phase),
            Report(phase) => registry.report_phase(now, &"e1".into(), *phase),
            Wait(time) => now = now + *time,
        }
    }

    registry.endpoints().first().map(|endpoint| endpoint.phase)
}

const LEAVING: Option<Phase> = Some(Phase::Leaving);
const LIVE: Option<Phase> = Some(Phase::Live);

macro_rules! history {
    ($($name:ident: $history:expr => $phase:expr,)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(phase(&$history), $phase);
            }
        )*
    };
}

history! {
    leaving_mark_overrides_a_lagging_list:
        [List(1, LIVE), Report(Phase::Leaving), List(2, LIVE)] => LEAVING,
    list_of_an_older_revision_is_ignored:
        [List(1, LIVE), List(3, LEAVING), List(2, LIVE)] => LEAVING,
    endpoint_that_left_and_returned_is_live:
        [List(1, LIVE), Report(Phase::Leaving), List(2, LEAVING), List(3, None), List(4, LIVE)] => LIVE,
    endpoint_that_leaves_again_is_leaving:
        [List(1, LIVE), Report(Phase::Leaving), List(2, LEAVING), List(4, LIVE), Report(Phase::Leaving)] => LEAVING,
    endpoint_that_withdraws_its_leaving_mark_is_live:
        [List(1, LIVE), Report(Phase::Leaving), Wait(SECOND), Report(Phase::Live)] => LIVE,
    report_older_than_the_leaving_mark_is_ignored:
        [List(1, LIVE), Wait(SECOND), Report(Phase::Leaving), LateReport(Phase::Live)] => LEAVING,
    live_listing_prevails_after_the_leaving_mark_expires:
        [List(1, LIVE), Report(Phase::Leaving), Wait(LEAVING_MARK_LIFETIME), List(1, LIVE)] => LIVE,
    endpoint_absent_from_the_list_is_removed:
        [List(1, LIVE), Report(Phase::Leaving), List(2, None)] => None,
}

#[test]
fn removing_an_endpoint_replaces_only_that_one_in_the_subset() {
    let host = id::Host::from("h1");
    let pool: Vec<Endpoint> = (0..1000)
        .map(|index| endpoint(&format!("e{index}"), Phase::Live))
        .collect();
    let before = subset(&host, pool.clone(), 64);
    let removed = before[0].endpoint.clone();
    let remaining = pool
        .into_iter()
        .filter(|endpoint| endpoint.endpoint != removed)
        .collect();
    let after = subset(&host, remaining, 64);
    let retained = after
        .iter()
        .filter(|endpoint| before.contains(endpoint))
        .count();

    assert_eq!(after.len(), 64);
    assert_eq!(retained, 63);
}
