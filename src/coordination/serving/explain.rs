//! Answers the operators' question where a request would go now.

use {
    crate::{
        coordination::serving::{dispatch, host::Host, request::hash_parts},
        protocol::query,
        state::{
            id,
            serving::{
                balance::Part,
                explain::{Answer, Question, Situation, explain},
            },
        },
        transport::boot_clock,
    },
    std::net::SocketAddr,
};

/// Path of the question on the metrics listener.
pub const PATH: &str = "/explain";

/// Returns the explanation for a query string with the fields `host`, `path`, `team` and
/// `parts` (`ID:TOKENS,…`).
pub fn answer(host: &Host, text: &str) -> Answer {
    let view = host.view();
    let now = boot_clock::now();
    let config = view.config.as_deref().filter(|_| view.roster_loaded);
    let dispatchers = |service: &id::Pool| {
        let order = dispatch::dispatchers(host, service);
        order.iter().copied().map(name).collect()
    };
    let situation = Situation {
        backlog: &|service| host.pools.backlog(now, service),
        config,
        dispatchers: &dispatchers,
        domain: &host.settings().domain,
        leaving: host.stop().is_some_and(|stop| !stop.is_open()),
        placement: &host.placement.borrow(),
        quarantine: &view.quarantine,
        roster: &view.roster,
    };
    explain(now, &question(text), &situation)
}

fn question(text: &str) -> Question {
    Question {
        host: query::field(text, "host").unwrap_or_default(),
        parts: parts(&query::field(text, "parts").unwrap_or_default()),
        path: query::field(text, "path").unwrap_or_default(),
        team: query::field(text, "team"),
    }
}

fn parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.split_once(':')?;
        Some((id.trim(), tokens.trim().parse().ok()?))
    });
    hash_parts(parts)
}

fn name(address: Option<SocketAddr>) -> String {
    address.map_or_else(|| "this host".into(), |address| address.to_string())
}
