//! Guards against new work for endpoints that are leaving.

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

enum Told {
    List(u64, Option<Phase>),
    Late(Phase),
    Own(Phase),
    Wait(Duration),
}

use Told::{Late, List, Own, Wait};

const SECOND: Duration = Duration::from_secs(1);

fn phase(history: &[Told]) -> Option<Phase> {
    let mut registry = Registry::default();
    let mut now = Time::ZERO;

    for told in history {
        match told {
            List(revision, phase) => {
                let endpoints = phase.map(|phase| endpoint("e1", phase));
                registry.update(now, *revision, endpoints.into_iter().collect());
            }
            Late(phase) => registry.report_phase(Time::ZERO, &"e1".into(), *phase),
            Own(phase) => registry.report_phase(now, &"e1".into(), *phase),
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
    lagging_list_does_not_revive_an_endpoint_that_says_it_leaves:
        [List(1, LIVE), Own(Phase::Leaving), List(2, LIVE)] => LEAVING,
    older_list_does_not_revive_an_endpoint:
        [List(1, LIVE), List(3, LEAVING), List(2, LIVE)] => LEAVING,
    endpoint_that_left_and_returned_gets_work:
        [List(1, LIVE), Own(Phase::Leaving), List(2, LEAVING), List(3, None), List(4, LIVE)] => LIVE,
    endpoint_that_leaves_again_gets_none:
        [List(1, LIVE), Own(Phase::Leaving), List(2, LEAVING), List(4, LIVE), Own(Phase::Leaving)] => LEAVING,
    endpoint_that_takes_its_word_back_gets_work:
        [List(1, LIVE), Own(Phase::Leaving), Wait(SECOND), Own(Phase::Live)] => LIVE,
    lagging_load_report_does_not_revive_an_endpoint:
        [List(1, LIVE), Wait(SECOND), Own(Phase::Leaving), Late(Phase::Live)] => LEAVING,
    list_that_never_shows_the_leaving_prevails_in_the_end:
        [List(1, LIVE), Own(Phase::Leaving), Wait(LEAVING_MARK_LIFETIME), List(1, LIVE)] => LIVE,
    endpoint_that_is_gone_is_not_listed:
        [List(1, LIVE), Own(Phase::Leaving), List(2, None)] => None,
}

#[test]
fn subset_changes_little_when_one_endpoint_goes() {
    let host = id::Host::from("h1");
    let pool: Vec<Endpoint> = (0..1000)
        .map(|index| endpoint(&format!("e{index}"), Phase::Live))
        .collect();
    let before = subset(&host, pool.clone(), 64);
    let gone = before[0].endpoint.clone();
    let rest = pool
        .into_iter()
        .filter(|endpoint| endpoint.endpoint != gone)
        .collect();
    let after = subset(&host, rest, 64);
    let kept = after
        .iter()
        .filter(|endpoint| before.contains(endpoint))
        .count();

    assert_eq!(after.len(), 64);
    assert_eq!(kept, 63);
}
