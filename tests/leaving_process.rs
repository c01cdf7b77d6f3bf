//! An endpoint that leaves gets no new work after 5 s, however late the host
//! list is, and works again when it returns under the same address.

use {
    serde_json::json,
    stand_ins::{
        daemon::{holds, wait},
        endpoint::Kind,
        faults::Change,
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

/// How long the endpoint is watched after that.
const WATCH: Duration = Duration::from_secs(3);

const LIMIT: Duration = Duration::from_secs(30);
const CALLERS: usize = 4;

/// Calls that reached an endpoint, refused ones included.
fn reached(fleet: &Fleet, endpoint: &str) -> u64 {
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
                    let outcome = Outcome::whole(&caller.post("note", body));
                    assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            });
        }

        let stopped = StopOnDrop(&stop);
        wait("load", LIMIT, || {
            let busy = (1..=3).all(|number| reached(fleet, &format!("draft-{number}")) > 0);
            busy.then_some(())
        });
        scenario();
        drop(stopped);
    });
}

/// Ends the load even when the scenario fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn gets_no_work(fleet: &Fleet) {
    thread::sleep(LEAVING_LIMIT);
    let before = reached(fleet, "draft-1");
    holds("no new work", WATCH, || reached(fleet, "draft-1") == before);
}

fn gets_work(fleet: &Fleet) {
    let before = fleet.endpoints["draft-1"].oracle().calls.len();
    wait("work after the return", LIMIT, || {
        (fleet.endpoints["draft-1"].oracle().calls.len() > before).then_some(())
    });
}

fn mark(fleet: &Fleet, leaving: bool) {
    let change = Change {
        leaving: Some(leaving),
        ..Change::default()
    };
    fleet.endpoints["draft-1"].set(change);
}

fn list(fleet: &Fleet, phase: Phase) {
    let address = fleet.endpoints["draft-1"].address();
    fleet.list_as("draft-1", "draft", "d1", address, phase);
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
    listed_as_leaving(fleet) {
        list(&fleet, Phase::Leaving);
        gets_no_work(&fleet);
        list(&fleet, Phase::Live);
        gets_work(&fleet);
    }

    /// Guards against work for an endpoint that is no longer listed.
    no_longer_listed(fleet) {
        list(&fleet, Phase::Gone);
        gets_no_work(&fleet);
        list(&fleet, Phase::Live);
        gets_work(&fleet);
    }

    /// Guards against trust in a host list that shows the change a minute late.
    marked_while_the_list_lags(fleet) {
        fleet.list.set(Faults { lag_ms: Some(60_000), ..Faults::default() });
        mark(&fleet, true);
        list(&fleet, Phase::Leaving);
        gets_no_work(&fleet);
        fleet.list.set(Faults { lag_ms: Some(0), ..Faults::default() });
        mark(&fleet, false);
        list(&fleet, Phase::Live);
        gets_work(&fleet);
    }

    /// Guards against a list that still shows the endpoint as live and wins over
    /// the endpoint's own mark.
    marked_while_the_list_says_live(fleet) {
        mark(&fleet, true);
        gets_no_work(&fleet);
        mark(&fleet, false);
        gets_work(&fleet);
    }

    /// Guards against work that goes on, or stops everywhere, while the list is down.
    marked_while_the_list_is_down(fleet) {
        fleet.list.set(Faults { outage: Some(true), ..Faults::default() });
        mark(&fleet, true);
        gets_no_work(&fleet);
        mark(&fleet, false);
        gets_work(&fleet);
    }
}

/// Guards against an endpoint that stays shut out after a crash and a return
/// under its old address.
#[test]
fn crashed_and_back_under_the_same_address() {
    let mut fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 2);
    under_load(&fleet, || {});
    let crashed = fleet.endpoints.remove("draft-1").expect("an endpoint");
    let address = crashed.address();
    drop(crashed);
    let body = json!({ "prompt": "mark-2 note", "max_tokens": 4 }).to_string();

    for host in fleet.hosts.iter().cycle().take(8) {
        let outcome = Outcome::whole(&fleet.team(host).post("note", &body));
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }

    fleet.endpoint("draft-1", "draft", Kind::Engine, address);
    under_load(&fleet, || gets_work(&fleet));
}
