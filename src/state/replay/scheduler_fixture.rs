//! Endpoints and settings of the scheduler's simulation.

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

/// Number of endpoints: the first three encode, the others generate.
pub const ENDPOINTS: u8 = 8;
const ENCODERS: u8 = 3;
/// Maximum number of concurrent calls on one endpoint.
pub const CONCURRENCY_LIMIT: u32 = 2;
/// Maximum queue time of the classes `urgent` and `volume`.
pub const QUEUE_TIMES: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1500)];

/// Returns the endpoint with this index, in a phase.
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

/// Returns the id of the endpoint with this index.
pub fn endpoint_id(index: u8) -> id::Endpoint {
    format!("e{}", index % ENDPOINTS).into()
}

/// Returns settings of two pools, and three teams with two classes each.
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
