//! A host must get a change of the store in time although the host that it
//! follows falls silent, and must not ask for everything twice.

use {
    crate::readers::members as fleet,
    persimmoncleat::state::{
        clock::Time,
        serving::{
            catch_up::{CatchUp, Purpose, Request, Sources},
            readers::{READERS, Ranking, Role},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

const STEP: Duration = Duration::from_millis(50);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn sources(ahead: bool, role: Role, stale: bool) -> Sources {
    Sources {
        ahead: ahead.then(|| address(3)),
        any: Some(address(4)),
        role,
        stale,
    }
}

/// Returns the requests of one purpose until `end`, with their times. None of
/// them is answered.
fn unanswered(sources: &Sources, purpose: Purpose, end: Duration) -> Vec<(Duration, Request)> {
    let mut catch_up = CatchUp::default();
    let start = Time::from_micros(60_000_000);
    let mut sent = Vec::new();
    let mut elapsed = Duration::ZERO;

    while elapsed <= end {
        let requests = catch_up.requests(start + elapsed, sources).into_iter();
        sent.extend(
            requests
                .filter(|request| request.purpose == purpose)
                .map(|request| (elapsed, request)),
        );
        elapsed += STEP;
    }

    sent
}

/// Guards against a host that waits for a silent reader although others have
/// the change.
#[test]
fn host_asks_one_that_is_ahead_while_its_reader_is_silent() {
    let sources = sources(true, Role::Follow(address(1)), false);
    let sent = unanswered(&sources, Purpose::CatchUp, Duration::from_secs(2));
    let (elapsed, request) = sent[0];
    assert_eq!(request.address, address(3));
    assert!(elapsed <= Duration::from_millis(600), "{elapsed:?}");
    let follows = unanswered(&sources, Purpose::Follow, Duration::from_secs(2));
    assert_eq!(follows.len(), 1, "one request waits at the reader");
}

/// Guards against a large configuration that every host receives twice, from
/// its reader and from a host that was a little faster.
#[test]
fn host_whose_reader_delivers_changes_asks_no_other() {
    let sources = sources(true, Role::Follow(address(1)), false);
    let mut catch_up = CatchUp::default();
    let mut now = Time::from_micros(60_000_000);

    for _ in 0..100 {
        for request in catch_up.requests(now, &sources) {
            assert_eq!(request.purpose, Purpose::Follow);
            catch_up.record(now, Purpose::Follow, true);
            catch_up.record_change();
        }
        now = now + Duration::from_millis(300);
    }
}

/// Guards against a host that the store turns away and that waits before it
/// asks its peers.
#[test]
fn stale_host_asks_at_once() {
    for ahead in [true, false] {
        let sent = unanswered(
            &sources(ahead, Role::Read, true),
            Purpose::CatchUp,
            Duration::ZERO,
        );
        assert_eq!(sent.len(), 1);
    }
}

/// Guards against calls that grow with the fleet during an outage of the store:
/// a follower whose readers all fail asks rarely.
#[test]
fn followers_ask_rarely_during_an_outage() {
    let mut catch_up = CatchUp::default();
    let start = Time::from_micros(60_000_000);
    let sources = sources(false, Role::Follow(address(1)), true);
    let mut sent = 0;

    for step in 0..600 {
        let now = start + STEP * step;
        for request in catch_up.requests(now, &sources) {
            sent += 1;
            catch_up.record(now, request.purpose, false);
        }
    }

    assert!(sent <= 45, "{sent} requests in 30 s");
}

/// Guards against a host that returns to its silent or rejected readers after
/// each answer of the one that replaces them.
#[test]
fn host_stays_with_the_reader_that_answers() {
    let mut catch_up = CatchUp::default();
    let now = Time::from_micros(60_000_000);

    for _ in 0..4 {
        catch_up.record(now, Purpose::Follow, false);
    }

    catch_up.record(now, Purpose::Follow, true);
    assert_eq!(catch_up.failures(), 4);
    let later = now + Duration::from_secs(30);
    catch_up.record(later, Purpose::Follow, true);
    assert_eq!(catch_up.failures(), 0);
}

/// Guards against a host that reaches the store but gets no changes, since it asks
/// one silent host after the other.
#[test]
fn host_reads_the_store_while_its_reader_is_silent() {
    let members = fleet(295);
    let local = members.last().unwrap();
    let ranking = Ranking::new(&local.host, members.iter());
    let mut catch_up = CatchUp::default();
    let now = Time::from_micros(60_000_000);
    assert!(matches!(catch_up.role(&ranking), Role::Follow(_)));

    for _ in 0..40 {
        catch_up.record_silence(now, Purpose::Follow);
        assert!(!matches!(catch_up.role(&ranking), Role::Follow(_)));
    }
}

/// Guards against a host that goes back to a silent reader as soon as another one
/// answers.
#[test]
fn host_follows_the_reader_that_answers_after_a_silent_one() {
    let members = fleet(295);
    let local = members.last().unwrap();
    let ranking = Ranking::new(&local.host, members.iter());
    let mut catch_up = CatchUp::default();
    let now = Time::from_micros(60_000_000);
    catch_up.record_silence(now, Purpose::Follow);
    let role = catch_up.role(&ranking);
    let requests = catch_up.requests(
        now,
        &Sources {
            ahead: None,
            any: None,
            role,
            stale: false,
        },
    );
    assert_eq!(requests.len(), 1);
    catch_up.record(now, Purpose::Follow, true);
    assert_eq!(catch_up.role(&ranking), Role::Follow(requests[0].address));
}

/// Guards against calls that grow with the fleet during an outage of the store, in
/// which readers answer that they have lost it.
#[test]
fn host_does_not_read_the_store_because_readers_have_lost_it() {
    let members = fleet(295);
    let local = members.last().unwrap();
    let ranking = Ranking::new(&local.host, members.iter());
    let mut catch_up = CatchUp::default();
    let now = Time::from_micros(60_000_000);

    for _ in 0..2 * READERS {
        catch_up.record(now, Purpose::Follow, false);
        assert!(matches!(catch_up.role(&ranking), Role::Follow(_)));
    }
}
