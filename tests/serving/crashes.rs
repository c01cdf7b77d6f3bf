//! Crashes of endpoints are attributed to the requests that cause them, from what all
//! hosts have seen, and not to those that were lost with them.

use {
    crate::readers::members,
    persimmoncleat::{
        state::{
            clock::Time,
            fleet::gossip::{Message, News},
            serving::{
                crashes::{Crash, Crashes, Lost},
                quarantine::Quarantine,
            },
        },
        transport::wire,
    },
    std::{collections::BTreeSet, time::Duration},
};

const NOW: Time = Time::from_millis(100_000);

/// Time between two crashes.
const STEP: Duration = Duration::from_millis(900);

/// The request that crashes endpoints.
const HARMFUL: u64 = 7;

/// Returns a crash of an endpoint under requests that were not answered before.
fn crash(endpoint: &str, requests: &[u64]) -> Crash {
    Crash {
        endpoint: endpoint.into(),
        incarnation: 1,
        requests: requests
            .iter()
            .map(|fingerprint| Lost {
                answered_before: false,
                fingerprint: *fingerprint,
            })
            .collect(),
    }
}

/// A host, and what it has found.
#[derive(Default)]
struct Host {
    crashes: Crashes,
    harmful: Vec<u64>,
    quarantine: Quarantine,
}

impl Host {
    fn record(&mut self, now: Time, crash: &Crash) {
        let findings = self.crashes.record(now, crash, &self.quarantine);
        self.add(now, &findings.harmful);
    }

    /// Receives the news of another host.
    fn hear(&mut self, now: Time, other: &Self) {
        let news = other.crashes.news(now);
        let findings = self.crashes.merge(now, &news, &self.quarantine);
        self.add(now, &findings.harmful);

        for fingerprint in findings.harmless {
            self.quarantine.release(fingerprint);
        }
    }

    fn add(&mut self, now: Time, harmful: &[u64]) {
        for fingerprint in harmful {
            self.quarantine.add(now, *fingerprint);
        }

        self.harmful.extend(harmful);
    }
}

macro_rules! series {
    ($($(#[$doc:meta])* $name:ident: $crashes:expr, every $interval:expr => $harmful:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut host = Host::default();

                for (number, crash) in (0..).zip(&$crashes) {
                    host.record(NOW + $interval * number, crash);
                }

                assert_eq!(host.harmful, $harmful);
            }
        )*
    };
}

/// Returns a crash under a request that was answered before.
fn crash_under_answered(endpoint: &str) -> Crash {
    let mut crash = crash(endpoint, &[HARMFUL]);
    crash.requests[0].answered_before = true;
    crash
}

series! {
    /// Guards against a request that crashes one endpoint after the other.
    third_crash_shows_the_request:
        [crash("a", &[HARMFUL, 1]), crash("b", &[2, HARMFUL]), crash("c", &[HARMFUL])],
        every STEP => [HARMFUL];

    /// Guards against a group of requests that counts as one because its crashes are at
    /// the same moment.
    crashes_at_the_same_moment_count:
        [crash("a", &[HARMFUL]), crash("b", &[HARMFUL]), crash("c", &[HARMFUL])],
        every Duration::ZERO => [HARMFUL];

    /// Guards against a sound request that is refused because the endpoints at which it
    /// was sent twice have crashed under another one.
    two_crashes_show_nothing:
        [crash("a", &[HARMFUL]), crash("b", &[HARMFUL])], every STEP => [0_u64; 0];

    /// Guards against a crash that counts twice, since two requests of a host were lost
    /// and reported at different times.
    crash_of_the_same_incarnation_counts_once:
        [crash("a", &[HARMFUL]), crash("a", &[HARMFUL]), crash("b", &[HARMFUL])],
        every STEP => [0_u64; 0];

    /// Guards against a frequent sound request that is refused after endpoints failed
    /// together for a reason of their own.
    endpoints_that_fail_together_show_nothing_of_an_answered_request:
        ["a", "b", "c", "d", "e"].map(crash_under_answered),
        every Duration::ZERO => [0_u64; 0];

    /// Guards against a request that crashes endpoints only since a change of these.
    four_crashes_show_an_answered_request:
        ["a", "b", "c", "d"].map(crash_under_answered), every STEP => [HARMFUL];

    /// Guards against the request being taken for harmful that was lost with a harmful
    /// one, which was found first.
    crashes_that_are_explained_show_nothing_of_other_requests:
        [
            crash("a", &[HARMFUL, 1]),
            crash("b", &[HARMFUL, 1]),
            crash("c", &[HARMFUL]),
            crash("d", &[1]),
        ],
        every STEP => [HARMFUL];

    /// Guards against losses that count for ever.
    crashes_of_long_ago_do_not_count:
        [crash("a", &[HARMFUL]), crash("b", &[HARMFUL]), crash("c", &[HARMFUL])],
        every Duration::from_secs(200) => [0_u64; 0];
}

/// Guards against a request that comes at another host each time, none of which sees
/// more than one crash.
#[test]
fn crashes_that_different_hosts_have_seen_add_up() {
    let [mut one, mut two, mut three] = [Host::default(), Host::default(), Host::default()];
    one.record(NOW, &crash("a", &[HARMFUL]));
    two.record(NOW + STEP, &crash("b", &[HARMFUL]));
    // The same crash, seen by a host that had another of its requests there.
    two.record(NOW + STEP, &crash("a", &[HARMFUL]));
    two.hear(NOW + STEP, &one);
    three.record(NOW + 2 * STEP, &crash("c", &[HARMFUL]));
    assert!(two.harmful.is_empty() && three.harmful.is_empty());
    three.hear(NOW + 2 * STEP, &two);
    assert_eq!(three.harmful, [HARMFUL]);
}

/// Guards against a sound request that is refused since its losses at one host were
/// followed by an answer at another one.
#[test]
fn answer_at_any_host_clears_a_request() {
    let [mut one, mut two] = [Host::default(), Host::default()];
    one.record(NOW, &crash("a", &[1]));
    one.record(NOW + STEP, &crash("b", &[1]));
    two.hear(NOW + STEP, &one);
    two.crashes.record_answer(NOW + 2 * STEP, 1);
    one.hear(NOW + 2 * STEP, &two);
    one.record(NOW + 3 * STEP, &crash("c", &[1]));
    assert!(one.harmful.is_empty());
    // What was lost before the answer does not come back.
    two.hear(NOW + 3 * STEP, &one);
    assert!(two.harmful.is_empty());
}

/// Guards against a quarantine that is renewed by what other hosts still tell of the
/// crashes that have led to it.
#[test]
fn news_of_known_crashes_do_not_renew_a_quarantine() {
    let [mut one, mut two] = [Host::default(), Host::default()];

    for (number, endpoint) in (0..).zip(["a", "b"]) {
        two.record(NOW + STEP * number, &crash(endpoint, &[HARMFUL]));
    }

    one.hear(NOW + STEP, &two);
    one.record(NOW + 2 * STEP, &crash("c", &[HARMFUL]));
    one.hear(NOW + 2 * STEP, &two);
    one.hear(NOW + 3 * STEP, &two);
    assert_eq!(one.harmful, [HARMFUL]);
}

/// Returns a host at which the quarantine of the request has just ended.
fn on_probation() -> (Host, Time) {
    let mut host = Host::default();

    for (number, endpoint) in (0..).zip(["a", "b", "c"]) {
        host.record(NOW + STEP * number, &crash(endpoint, &[HARMFUL]));
    }

    (host, NOW + Duration::from_secs(90))
}

/// Guards against a request that crashes three more endpoints after its quarantine.
#[test]
fn one_crash_after_the_quarantine_renews_it() {
    let (mut host, after) = on_probation();
    host.record(after, &crash("d", &[HARMFUL]));
    assert_eq!(host.harmful, [HARMFUL, HARMFUL]);
}

/// Guards against a request that only the host which tried it serves again.
#[test]
fn answer_after_the_quarantine_ends_it_at_other_hosts() {
    let (mut host, after) = on_probation();
    let mut other = Host::default();
    other.crashes.record_answer(after, HARMFUL);
    host.hear(after, &other);
    assert!(host.quarantine.is_empty());
}

/// Guards against a request that is sent to another endpoint after two have crashed
/// under it.
#[test]
fn request_with_two_losses_is_not_repeated() {
    let mut host = Host::default();
    host.record(NOW, &crash("a", &[HARMFUL, 1]));
    assert!(host.crashes.suspects().allow_retry(HARMFUL));
    host.record(NOW + STEP, &crash("b", &[HARMFUL]));
    assert!(!host.crashes.suspects().allow_retry(HARMFUL));
    assert!(host.crashes.suspects().allow_retry(1));
}

/// Returns a host at which many requests were lost with one endpoint, and the harmful one
/// with two.
fn host_with_many_losses() -> Host {
    let mut host = Host::default();
    let others = (100..200).collect::<Vec<u64>>();
    host.record(NOW, &crash("a", &others));
    host.record(NOW, &crash("b", &[HARMFUL]));
    host.record(NOW, &crash("c", &[HARMFUL]));
    host
}

/// Guards against messages that grow with the number of lost requests, and that tell of
/// them for ever.
#[test]
fn news_are_bounded_and_tell_of_the_most_suspect_requests() {
    const MAX_BYTES: usize = 4096;

    let host = host_with_many_losses();
    let news = host.crashes.news(NOW + STEP);
    assert_eq!(news[0].fingerprint, HARMFUL);
    assert!(host.crashes.news(NOW + Duration::from_secs(20)).is_empty());

    let message = Message {
        from: members(1).remove(0),
        known: 1,
        news: Box::new(News {
            suspicions: news,
            ..News::default()
        }),
        updates: Vec::new(),
    };
    let mut builder = capnp::message::Builder::new_default();
    wire::write_message(builder.init_root(), &message);
    let bytes = capnp::serialize::compute_serialized_size_in_words(&builder) * 8;
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
}

/// Guards against a request that no message names, since others have as many losses.
#[test]
fn news_tell_of_all_requests_in_turn() {
    let host = host_with_many_losses();
    let messages = (0..40).map(|number| NOW + Duration::from_millis(100) * number);
    let told = messages.flat_map(|now| host.crashes.news(now));
    let told = told.map(|suspicion| suspicion.fingerprint);
    assert_eq!(told.collect::<BTreeSet<u64>>().len(), 101);
}
