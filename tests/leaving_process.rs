//! Process tests of leaving endpoints: such an endpoint gets no new work after
//! 5 s, however far the host list lags behind, and gets work again after it
//! returns under the same address.

use {
    serde_json::json,
    stand_ins::{
        daemon::{assert_holds, wait},
        endpoint::Kind,
        faults::FaultSwitches,
        fleet::Fleet,
        host_list::{Faults, Phase},
        outcome::Outcome,
    },
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
        time::Duration,
    },
};

/// After this time a leaving endpoint gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// How long to check, after `LEAVING_LIMIT`, that no new work arrives.
const CHECK_PERIOD: Duration = Duration::from_secs(3);

const LIMIT: Duration = Duration::from_secs(30);

/// Number of concurrent callers. With a few, each host's calls fit into the
/// endpoint of its own domain, and `draft-3`, whose domain has no host, gets
/// work only by chance.
const CALLERS: usize = 12;

/// Returns the number of calls that reached an endpoint, including refused ones.
fn received_calls(fleet: &Fleet, endpoint: &str) -> u64 {
    let oracle = fleet.endpoints[endpoint].oracle();
    oracle.calls.len() as u64 + oracle.refused
}

/// Runs `scenario` while callers keep both hosts busy, and checks that every
/// request was answered.
fn under_load(fleet: &Fleet, scenario: impl FnOnce()) {
    let stop = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    let body = json!({ "prompt": "mark-1 note", "max_tokens": 4 }).to_string();

    thread::scope(|scope| {
        for number in 0..CALLERS {
            let caller = fleet.team(&fleet.hosts[number % fleet.hosts.len()]);
            let (stop, answered, body) = (&stop, &answered, &body);

            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let outcome = Outcome::buffered(&caller.post("note", body));
                    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            });
        }

        let stopped = StopOnDrop(&stop);
        wait("load", LIMIT, || {
            let busy = (1..=3).all(|number| received_calls(fleet, &format!("draft-{number}")) > 0);
            busy.then_some(())
        });
        scenario();
        drop(stopped);
    });
}

/// Ends the load even if the scenario panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn assert_no_new_work(fleet: &Fleet) {
    thread::sleep(LEAVING_LIMIT);
    let before = received_calls(fleet, "draft-1");
    assert_holds("no new work", CHECK_PERIOD, || {
        received_calls(fleet, "draft-1") == before
    });
}

fn wait_for_work(fleet: &Fleet) {
    let before = fleet.endpoints["draft-1"].oracle().calls.len();
    wait("work after the return", LIMIT, || {
        (fleet.endpoints["draft-1"].oracle().calls.len() > before).then_some(())
    });
}

fn set_leaving_mark(fleet: &Fleet, leaving: bool) {
    let change = FaultSwitches {
        leaving: Some(leaving),
        ..FaultSwitches::default()
    };
    fleet.endpoints["draft-1"].set(change);
}

fn set_listed_phase(fleet: &Fleet, phase: Phase) {
    let address = fleet.endpoints["draft-1"].address();
    fleet.set_listing("draft-1", "draft", "d1", address, phase);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($fleet:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let $fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);
                under_load(&$fleet, || $body);
            }
        )*
    };
}

cases! {
    /// Guards against work for an endpoint that the host list shows as leaving.
    endpoint_listed_as_leaving_gets_no_work(fleet) {
        set_listed_phase(&fleet, Phase::Leaving);
        assert_no_new_work(&fleet);
        set_listed_phase(&fleet, Phase::Live);
        wait_for_work(&fleet);
    }

    /// Guards against work for an endpoint that is no longer listed.
    unlisted_endpoint_gets_no_work(fleet) {
        set_listed_phase(&fleet, Phase::Gone);
        assert_no_new_work(&fleet);
        set_listed_phase(&fleet, Phase::Live);
        wait_for_work(&fleet);
    }

    /// Guards against work for a leaving endpoint while the host list shows the
    /// change a minute late.
    endpoint_with_a_leaving_mark_gets_no_work_while_the_list_lags(fleet) {
        fleet.list.set(Faults { lag_ms: Some(60_000), ..Faults::default() });
        set_leaving_mark(&fleet, true);
        set_listed_phase(&fleet, Phase::Leaving);
        assert_no_new_work(&fleet);
        fleet.list.set(Faults { lag_ms: Some(0), ..Faults::default() });
        set_leaving_mark(&fleet, false);
        set_listed_phase(&fleet, Phase::Live);
        wait_for_work(&fleet);
    }

    /// Guards against a list that still shows the endpoint as live and overrides the
    /// endpoint's own mark.
    endpoint_with_a_leaving_mark_gets_no_work_while_listed_as_live(fleet) {
        set_leaving_mark(&fleet, true);
        assert_no_new_work(&fleet);
        set_leaving_mark(&fleet, false);
        wait_for_work(&fleet);
    }

    /// Guards against an outage of the list that lets work reach a leaving endpoint,
    /// or that stops the work of all endpoints.
    endpoint_with_a_leaving_mark_gets_no_work_during_a_list_outage(fleet) {
        fleet.list.set(Faults { outage: Some(true), ..Faults::default() });
        set_leaving_mark(&fleet, true);
        assert_no_new_work(&fleet);
        set_leaving_mark(&fleet, false);
        wait_for_work(&fleet);
    }
}

/// Guards against an endpoint that stays excluded after a crash and a restart
/// under the same address.
#[test]
fn endpoint_restarted_under_the_same_address_gets_work() {
    let mut fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);
    under_load(&fleet, || {});
    let crashed = fleet.endpoints.remove("draft-1").expect("an endpoint");
    let address = crashed.address();
    drop(crashed);
    let body = json!({ "prompt": "mark-2 note", "max_tokens": 4 }).to_string();

    for host in fleet.hosts.iter().cycle().take(8) {
        let outcome = Outcome::buffered(&fleet.team(host).post("note", &body));
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }

    fleet.start_endpoint("draft-1", "draft", Kind::Engine, address);
    under_load(&fleet, || wait_for_work(&fleet));
}
