//! Requests that are posted again with the same idempotency key or ticket.

use {
    crate::{
        fakes::{Fake, done},
        support::{Host, parse, wait_for},
    },
    persimmoncleat::{protocol::daemon_file::Limits, state::pool::Kind},
    rouille::Response,
    std::{sync::Arc, thread, time::Duration},
};

const BODY: &str = r#"{"prompt": "issue 7"}"#;
const OTHER: &str = r#"{"prompt": "issue 8"}"#;

fn service(fake: &Fake) -> Host {
    Host::start(&[("publish", Kind::Service, &[fake.address])])
}

#[test]
fn same_key_gets_the_recorded_answer() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);
    let key = [("Idempotency-Key", "order-7")];

    let first = host.post("", &key, BODY);
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(host.post("", &key, BODY), first);
    assert_eq!(fake.count(), 1);
}

#[test]
fn same_key_joins_the_run_in_progress() {
    let fake = Fake::start(|_, call| {
        thread::sleep(Duration::from_millis(300));
        done(call, "published")
    });
    let host = Arc::new(service(&fake));
    let first = Arc::clone(&host);
    let first = thread::spawn(move || first.post("", &[("Idempotency-Key", "k")], BODY));
    wait_for(|| fake.count() == 1);

    let second = host.post("", &[("Idempotency-Key", "k")], BODY);
    assert_eq!(first.join().unwrap(), second);
    assert_eq!(fake.count(), 1);
}

#[test]
fn same_key_with_another_body_is_a_conflict() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);
    let key = [("Idempotency-Key", "order-7")];
    host.post("", &key, BODY);

    let (status, text) = host.post("", &key, OTHER);
    assert_eq!(status, 409, "{text}");
    assert_eq!(parse(&text)["reason"], "conflict");
    assert_eq!(fake.count(), 1);
}

#[test]
fn same_ticket_runs_once() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);
    let ticket = host.ticket(BODY);

    let first = host.post_order(&ticket, BODY);
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(host.post_order(&ticket, BODY), first);
    assert_eq!(parse(&first.1)["request"], ticket["request"]);
    assert_eq!(fake.count(), 1);
}

/// A caller that lost its answer posts the ticket again. A refusal before the
/// ticket is looked up must not report that the request did not run.
macro_rules! refusal_after_the_run_is_unknown {
    ($($name:ident: $header:expr, $status:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let fake = Fake::start(|_, call| done(call, "published"));
                let host = service(&fake);
                let ticket = host.ticket(BODY);
                assert_eq!(host.post_order(&ticket, BODY).0, 200);

                let wrong: (&str, &str) = $header;
                let mut headers = vec![
                    wrong,
                    ("Authorization", "Bearer the key of team hvarfdal"),
                    ("Persimmon-Class", "volume"),
                    ("Persimmon-Repeatable", "false"),
                    ("Persimmon-Team", "hvarfdal"),
                    ("Persimmon-Ticket", ticket["ticket"].as_str().unwrap()),
                ];
                // The wrong header replaces the right one of the same name.
                headers.sort_by_key(|(name, _)| *name);
                headers.dedup_by_key(|(name, _)| *name);
                let path = "/v1/pipelines/draft/requests";
                let (status, text) = host.send(path, &headers, BODY);
                assert_eq!(status, $status, "{text}");
                assert_eq!(parse(&text)["outcome"], "unknown", "{text}");
                assert_eq!(fake.count(), 1);
            }
        )*
    };
}

refusal_after_the_run_is_unknown! {
    wrong_key_after_the_run_is_unknown: ("Authorization", "Bearer wrong"), 403;
    wrong_deadline_after_the_run_is_unknown: ("Persimmon-Deadline-Ms", "0"), 400;
    damaged_ticket_after_the_run_is_unknown: ("Persimmon-Ticket", "damaged"), 409;
}

#[test]
fn ticket_with_another_body_is_a_conflict() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);

    let (status, text) = host.post_order(&host.ticket(BODY), OTHER);
    assert_eq!(status, 409, "{text}");
    assert_eq!(fake.count(), 0);
}

#[test]
fn forged_ticket_is_refused() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);
    let mut ticket = host.ticket(BODY);
    let forged = ticket["ticket"]
        .as_str()
        .unwrap()
        .replacen("7b22", "7b20", 1);
    ticket["ticket"] = forged.into();

    let (status, text) = host.post_order(&ticket, BODY);
    assert_eq!(status, 409, "{text}");
    assert_eq!(parse(&text)["reason"], "ticket");
    // After a key change, valid tickets look forged, and their orders may have
    // run.
    assert_eq!(parse(&text)["outcome"], "unknown");
    assert_eq!(fake.count(), 0);
}

#[test]
fn refused_copy_of_an_order_that_ran_is_unknown() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = service(&fake);
    let ticket = host.ticket(BODY);
    assert_eq!(host.post_order(&ticket, BODY).0, 200);
    let text = ticket["ticket"].as_str().unwrap();
    let headers = |authorization| {
        [
            ("Authorization", authorization),
            ("Persimmon-Class", "volume"),
            ("Persimmon-Repeatable", "false"),
            ("Persimmon-Team", "hvarfdal"),
            ("Persimmon-Ticket", text),
        ]
    };
    let copy = |authorization, body: &str| {
        let path = "/v1/pipelines/draft/requests";
        let (status, text) = host.send(path, &headers(authorization), body);
        (status, parse(&text)["outcome"].clone())
    };

    assert_eq!(copy("Bearer wrong", BODY), (403, "unknown".into()));
    let key = format!("Bearer {}", crate::support::TEAM_KEY);
    assert_eq!(copy(&key, "{}"), (400, "unknown".into()));
    assert_eq!(copy(&key, &"x".repeat(1_048_577)), (413, "unknown".into()));
}

#[test]
fn refused_ticket_stays_closed() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let limits = Limits {
        requests: 1,
        ..Limits::default()
    };
    let slow = Fake::start(|_, call| {
        thread::sleep(Duration::from_millis(500));
        done(call, "slow")
    });
    let host = Host::with_limits(&[("publish", Kind::Service, &[slow.address])], limits);
    let host = Arc::new(host);
    let ticket = host.ticket(BODY);
    let busy = Arc::clone(&host);
    let busy = thread::spawn(move || busy.post("", &[], OTHER));
    wait_for(|| slow.count() == 1);

    let (status, text) = host.post_order(&ticket, BODY);
    assert_eq!(status, 503, "{text}");
    assert_eq!(parse(&text)["outcome"], "not_run");
    assert_eq!(busy.join().unwrap().0, 200);
    // The host has capacity again, but a copy of the refused order must not
    // run.
    assert_eq!(host.post_order(&ticket, BODY).0, 503);
    assert_eq!((slow.count(), fake.count()), (1, 0));
}

#[test]
fn order_that_may_have_run_stays_unknown() {
    let fake = Fake::start(|_, _| Response::text("broken").with_status_code(500));
    let host = service(&fake);
    let ticket = host.ticket(BODY);

    let first = host.post_order(&ticket, BODY);
    assert_eq!(parse(&first.1)["outcome"], "unknown", "{}", first.1);
    assert_eq!(host.post_order(&ticket, BODY), first);
    assert_eq!(fake.count(), 1);
}

#[test]
fn run_continues_after_the_caller_disconnects() {
    let fake = Fake::start(|_, call| {
        thread::sleep(Duration::from_millis(300));
        done(call, "published")
    });
    let host = service(&fake);
    let ticket = host.ticket(BODY);
    let text = ticket["ticket"].as_str().unwrap();
    host.post_and_disconnect(text, BODY);
    wait_for(|| fake.count() == 1);

    let path = format!("/v1/requests/{}", ticket["request"].as_str().unwrap());
    let (status, text) = host.get(&path, crate::support::TEAM_KEY);
    assert_eq!(status, 200, "{text}");
    assert_eq!(parse(&text)["output"], "published");
}

/// Starts a host that runs one request at a time and holds 20 records.
fn single_request_host(fake: &Fake) -> Host {
    let limits = Limits {
        requests: 1,
        ..Limits::default()
    };
    Host::with_limits(&[("publish", Kind::Service, &[fake.address])], limits)
}

#[test]
fn full_table_drops_the_oldest_answer_without_a_key() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = single_request_host(&fake);
    let posted: Vec<_> = (0..21).map(|_| host.post("", &[], BODY)).collect();
    let fetch = |text: &str| {
        let request = parse(text)["request"].as_str().unwrap().to_string();
        host.get(&format!("/v1/requests/{request}"), crate::support::TEAM_KEY)
    };

    assert!(posted.iter().all(|(status, _)| *status == 200));
    assert_eq!(fetch(&posted[0].1).0, 404);
    assert_eq!(fetch(&posted[1].1), posted[1]);
}

#[test]
fn full_table_refuses_instead_of_dropping_a_keyed_answer() {
    let fake = Fake::start(|_, call| done(call, "published"));
    let host = single_request_host(&fake);
    let post = |number: usize| host.post("", &[("Idempotency-Key", &format!("k{number}"))], BODY);
    let first = post(0);
    (1..20).for_each(|number| assert_eq!(post(number).0, 200));

    let (status, text) = post(20);
    assert_eq!(status, 503, "{text}");
    assert_eq!(parse(&text)["outcome"], "not_run");
    assert_eq!(post(0), first);
    assert_eq!(fake.count(), 20);
}
