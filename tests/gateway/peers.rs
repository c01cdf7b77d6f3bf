//! Orders that are posted, and answers that are fetched, at a host other than
//! their home.

use {
    crate::{
        fakes::{Fake, done},
        support::{Host, TEAM_KEY, parse},
    },
    persimmoncleat::{
        protocol::daemon_file::Limits,
        state::{
            fleet::member::{Member, Phase},
            pool::Kind,
        },
    },
    std::{net::SocketAddr, sync::Arc},
};

const BODY: &str = r#"{"prompt": "issue 7"}"#;

/// Starts a host with the given members in its view.
fn host(name: &str, service: SocketAddr, members: &[&Member]) -> (Host, Member) {
    let endpoints = [service];
    let pools = [("publish", Kind::Service, &endpoints[..])];
    let (host, mut parts, events) = Host::scripted(&pools, Limits::default());
    parts.view.local.host = name.into();
    parts.view.local.domain = name.into();
    parts.view.members = Arc::new(members.iter().map(|member| (*member).clone()).collect());
    parts.claims = persimmoncleat::coordination::claims::Claims::new(&parts.view, 100);
    let member = parts.view.local.clone();
    host.run(parts, events, &pools);
    (host, member)
}

struct Fleet {
    home: Host,
    /// Has the home and the witness in its view.
    other: Host,
    /// Has only the witness in its view.
    resolver: Host,
    service: Fake,
    _witness: Host,
}

fn fleet() -> Fleet {
    let service = Fake::start(|_, call| done(call, "published"));
    let (_witness, witness) = host("h3", service.address, &[]);
    let (home, member) = host("h1", service.address, &[&witness]);
    let (other, _) = host("h2", service.address, &[&member, &witness]);
    let (resolver, _) = host("h4", service.address, &[&witness]);

    Fleet {
        home,
        other,
        resolver,
        service,
        _witness,
    }
}

#[test]
fn order_posted_to_another_host_runs_at_its_home() {
    let fleet = fleet();
    let ticket = fleet.home.ticket(BODY);

    let forwarded = fleet.other.post_order(&ticket, BODY);
    assert_eq!(forwarded.0, 200, "{}", forwarded.1);
    assert_eq!(fleet.home.post_order(&ticket, BODY), forwarded);
    assert_eq!(fleet.service.count(), 1);
}

#[test]
fn answer_is_fetched_through_another_host() {
    let fleet = fleet();
    let answer = fleet.home.post("", &[], BODY);
    let path = format!(
        "/v1/requests/{}",
        parse(&answer.1)["request"].as_str().unwrap()
    );

    assert_eq!(fleet.other.get(&path, TEAM_KEY), answer);
    assert_eq!(fleet.other.get(&path, "another team's key").0, 403);
    let (status, text) = fleet.resolver.get(&path, TEAM_KEY);
    assert_eq!(status, 404, "{text}");
    assert_eq!(parse(&text)["outcome"], "unknown");
}

#[test]
fn order_that_never_ran_is_closed_by_the_witness() {
    let fleet = fleet();
    let ticket = fleet.home.ticket(BODY);

    let (_, text) = fleet.resolver.post_order(&ticket, BODY);
    assert_eq!(parse(&text)["outcome"], "not_run", "{text}");
    // The home is alive, though not in the resolver's view, and must no longer
    // run the order.
    let (_, text) = fleet.home.post_order(&ticket, BODY);
    assert_eq!(parse(&text)["outcome"], "not_run", "{text}");
    assert_eq!(fleet.service.count(), 0);
}

#[test]
fn order_that_ran_is_unknown_without_its_home() {
    let fleet = fleet();
    let ticket = fleet.home.ticket(BODY);
    assert_eq!(fleet.home.post_order(&ticket, BODY).0, 200);

    let (_, text) = fleet.resolver.post_order(&ticket, BODY);
    assert_eq!(parse(&text)["outcome"], "unknown", "{text}");
    assert_eq!(fleet.service.count(), 1);
}

#[test]
fn entrypoints_omit_leaving_hosts() {
    let service = Fake::start(|_, call| done(call, "published"));
    let (_near, near) = host("h2", service.address, &[]);
    let (_gone, mut leaving) = host("h3", service.address, &[]);
    leaving.phase = Phase::Leaving;
    let (host, _) = host("h1", service.address, &[&near, &leaving]);

    let (_, text) = host.get("/v1/entrypoints?domain=h2&caller=c1", "");
    let answer = parse(&text);
    let hosts: Vec<_> = answer["entrypoints"].as_array().unwrap().iter().collect();

    assert_eq!(answer["keep_ms"], 2000);
    assert_eq!(hosts.len(), 2, "{text}");
    assert_eq!(
        hosts[0]["host"], "h2",
        "hosts of the caller's domain come first"
    );
    assert_eq!(hosts[1]["host"], "h1");
}
