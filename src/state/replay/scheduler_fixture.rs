//! The endpoints and settings of the world in which traces are replayed.

use {
    crate::state::{
        class::Class,
        endpoint::{Endpoint, Phase},
        id,
        policy::{Policy, Team},
        pool::{Kind, Pool},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Endpoints of the world: the first three encode, the others generate.
pub const ENDPOINTS: u8 = 8;
const ENCODERS: u8 = 3;
/// Calls at a time that one endpoint takes.
pub const CONCURRENCY_LIMIT: u32 = 2;
/// Longest time in a queue by class: `urgent`, `volume`.
pub const QUEUE_TIMES: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1500)];

/// Returns an endpoint in a phase.
pub fn endpoint(index: u8, phase: Phase) -> Endpoint {
    let pool = if index < ENCODERS {
        "encode"
    } else {
        "generate"
    };

    Endpoint {
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + u16::from(index))),
        domain: format!("d{}", index % 2).into(),
        endpoint: endpoint_id(index),
        phase,
        pool: pool.into(),
    }
}

/// Returns the id of an endpoint.
pub fn endpoint_id(index: u8) -> id::Endpoint {
    format!("e{}", index % ENDPOINTS).into()
}

/// Returns the settings: two pools, three teams with two classes each.
pub fn policy() -> Policy {
    let class = |priority, share, queue_time| Class {
        priority,
        queue_time,
        share,
        ..Class::default()
    };
    let team = Team {
        classes: BTreeMap::from([
            ("urgent".into(), class(9, 0, QUEUE_TIMES[0])),
            ("volume".into(), class(1, 20, QUEUE_TIMES[1])),
        ]),
        ..Team::default()
    };
    let pool = |kind| Pool {
        concurrency_limit: CONCURRENCY_LIMIT,
        kind,
        reports_load: kind == Kind::Engine,
        ..Pool::default()
    };

    Policy {
        pools: BTreeMap::from([
            ("encode".into(), pool(Kind::Pool)),
            ("generate".into(), pool(Kind::Engine)),
        ]),
        teams: (0..3)
            .map(|index| (format!("t{index}").into(), team.clone()))
            .collect(),
        ..Policy::default()
    }
}
