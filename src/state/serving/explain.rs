//! Explains where a request would go now, and why, without sending it.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            balance::{self, Part},
            config::{Config, Route, Team},
            placement::{Criteria, Placement},
            quarantine::{self, Quarantine},
            roster::{Entry, Roster},
        },
    },
    serde::Serialize,
    std::{sync::Arc, time::Duration},
};

/// The request in question.
#[derive(Clone, Debug, Default)]
pub struct Question {
    pub host: String,
    /// Parts of the prompt, without which no engine has any of it in its cache.
    pub parts: Vec<Part>,
    pub path: String,
    pub team: Option<String>,
}

/// What a host knows.
pub struct Situation<'a> {
    pub config: Option<&'a Config>,
    /// Returns the dispatchers or balancing hosts of a service, in order.
    pub dispatchers: &'a dyn Fn(&id::Pool) -> Vec<String>,
    /// Returns the backlog of a pool that this host dispatches.
    pub backlog: &'a dyn Fn(&id::Pool) -> Option<Duration>,
    pub domain: &'a id::Domain,
    pub leaving: bool,
    pub placement: &'a Placement,
    pub quarantine: &'a Quarantine,
    pub roster: &'a Roster,
}

/// A stage of the request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stage {
    pub after: Vec<usize>,
    /// Expected time until a new piece would start, if this host dispatches the pool.
    pub backlog_ms: Option<u128>,
    pub dispatchers: Vec<String>,
    pub endpoints: usize,
    pub service: String,
}

/// An endpoint that may get the request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Time since this host last sent it a request, which is the age of its estimates.
    pub age_ms: Option<u128>,
    pub domain: String,
    pub endpoint: String,
    /// Duration of its calls relative to the expected one.
    pub latency_ratio: f64,
    /// Whether the host would choose it now by its own observations. Ties are broken at
    /// random, and the balancing host chooses the engine of a prompt.
    pub next: bool,
    /// Requests of this host in progress there.
    pub running: u32,
    pub service: String,
    pub slots: usize,
    /// `open`, or why the endpoint is not used or only without others.
    pub state: &'static str,
    /// Time until it is used again, if that is known.
    pub wait_ms: Option<u128>,
}

/// The explanation. No field holds a key.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Answer {
    /// Hosts that choose the engine of a prompt, in order.
    pub balancers: Vec<String>,
    pub candidates: Vec<Candidate>,
    pub config: Option<u64>,
    pub priority: Option<u8>,
    /// Reasons for which the request would be refused, as in the log.
    pub refusals: Vec<&'static str>,
    pub route: Option<String>,
    /// Services that may get it, with their share of the route's requests.
    pub services: Vec<(String, f64)>,
    pub stages: Vec<Stage>,
}

/// Explains what would happen to a request.
pub fn explain(now: Time, question: &Question, situation: &Situation) -> Answer {
    let mut answer = Answer::default();

    if situation.leaving {
        answer.refusals.push("host_leaving");
    }

    let Some(config) = situation.config else {
        answer.refusals.push("no_configuration");
        return answer;
    };
    answer.config = Some(config.version);
    let Some(route) = config.route(&question.host, &question.path) else {
        answer.refusals.push("no_route");
        return answer;
    };
    let team = find_team(config, question.team.as_deref());

    if config.keys.is_some() && team.is_none() && !route.public {
        answer.refusals.push("unknown_key");
    }

    let shared = quarantine::shared(&question.parts).iter();

    if situation
        .quarantine
        .find(now, shared.map(|part| part.id))
        .is_some()
    {
        answer.refusals.push("prompt_part_quarantined");
    }

    answer.route = Some(route.name.clone());
    answer.priority = Some(
        team.and_then(|team| team.priority)
            .unwrap_or(route.priority),
    );
    answer.services = services(route);
    answer.stages = stages(route, situation);

    if answer.stages.iter().any(|stage| stage.endpoints == 0) {
        answer.refusals.push("stage_failed");
    }

    for target in &route.targets {
        add_candidates(
            now,
            &mut answer,
            &target.service,
            question,
            route,
            situation,
        );
    }

    answer
}

/// Returns a team of the configuration by its name.
fn find_team<'a>(config: &'a Config, name: Option<&str>) -> Option<&'a Team> {
    let name = name?;
    let mut teams = config.keys.as_ref()?.values();
    teams.find(|team| team.name.as_str() == name)
}

fn services(route: &Route) -> Vec<(String, f64)> {
    let total = route
        .targets
        .iter()
        .map(|target| target.weight)
        .sum::<f64>();
    let targets = route.targets.iter();
    targets
        .map(|target| (target.service.as_str().into(), target.weight / total))
        .collect()
}

fn stages(route: &Route, situation: &Situation) -> Vec<Stage> {
    let stages = route.stages.iter().map(|stage| Stage {
        after: stage.after.clone(),
        backlog_ms: (situation.backlog)(&stage.service).map(|time| time.as_millis()),
        dispatchers: (situation.dispatchers)(&stage.service),
        endpoints: situation.roster.open(&stage.service).count(),
        service: stage.service.as_str().into(),
    });
    stages.collect()
}

fn add_candidates(
    now: Time,
    answer: &mut Answer,
    service: &id::Pool,
    question: &Question,
    route: &Route,
    situation: &Situation,
) {
    let Situation {
        placement, roster, ..
    } = situation;
    let session = balance::session(&question.parts);
    let criteria = Criteria {
        domain: (!route.stream).then_some(situation.domain),
        exclude: &[],
        session,
    };
    let next = placement.choose(now, roster.open(service), criteria);

    if next.is_none() {
        let deferred = placement.deferral(now, roster.open(service)).is_some();
        let reason = if deferred {
            "endpoints_deferred"
        } else {
            "no_endpoint"
        };

        if !answer.refusals.contains(&reason) {
            answer.refusals.push(reason);
        }
    }

    if route.stream && session.is_some() && answer.balancers.is_empty() {
        answer.balancers = (situation.dispatchers)(service);
    }

    let entries = roster.service(service).iter();
    let candidates = entries.map(|entry| candidate(now, placement, entry, next));
    answer.candidates.extend(candidates);
}

fn candidate(
    now: Time,
    placement: &Placement,
    entry: &Arc<Entry>,
    next: Option<&Arc<Entry>>,
) -> Candidate {
    let health = placement.health(entry);
    let deferred = placement.is_deferred(now, entry);
    let wait = health
        .filter(|_| deferred)
        .map(|health| health.deferred_until(now));
    let state = match health {
        _ if entry.leaving => "leaving",
        _ if deferred => "deferred",
        Some(health) if health.is_paused(now) => "paused",
        Some(health) if health.is_slow() => "slow",
        _ => "open",
    };

    Candidate {
        age_ms: placement
            .last_sent(entry)
            .map(|sent| now.since(sent).as_millis()),
        domain: entry.domain.as_str().into(),
        endpoint: entry.endpoint.as_str().into(),
        latency_ratio: health.map_or(1.0, |health| health.latency_ratio()),
        next: next.is_some_and(|next| next.endpoint == entry.endpoint),
        running: placement.running(&entry.endpoint),
        service: entry.service.as_str().into(),
        slots: entry.slots,
        state,
        wait_ms: wait.map(|until| until.since(now).as_millis()),
    }
}
