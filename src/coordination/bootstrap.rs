//! A fixed policy from the object API, in force until the settings tree is.

use {
    crate::{
        state::{
            class::Class,
            id,
            pipeline::{Pipeline, Stage},
            policy::{Policy, Team},
            pool::{Kind, Pool},
        },
        transport::client::{self, Client},
    },
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Longest wait for the object API.
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Object {
    value: Value,
}

#[derive(Deserialize)]
struct Value {
    /// Stage names, which are also pool names, by pipeline.
    pipelines: BTreeMap<id::Pipeline, Vec<id::Stage>>,
    pools: BTreeMap<id::Pool, Kind>,
    /// Key digests by team.
    teams: BTreeMap<id::Team, String>,
}

/// Reads the object `settings/bootstrap`; without it no policy is in force.
pub fn policy(object_api: SocketAddr) -> Policy {
    let read = Client::new()
        .get(object_api, "/v1/objects/settings/bootstrap", &[], TIMEOUT)
        .and_then(|response| client::body(object_api, TIMEOUT, response));

    read.ok()
        .and_then(|body| serde_json::from_slice::<Object>(&body).ok())
        .map_or_else(Policy::default, |object| from(object.value))
}

fn from(value: Value) -> Policy {
    Policy {
        pipelines: value
            .pipelines
            .into_iter()
            .map(|(name, stages)| (name, pipeline(stages)))
            .collect(),
        pools: value
            .pools
            .into_iter()
            .map(|(name, kind)| {
                (
                    name,
                    Pool {
                        kind,
                        ..Pool::default()
                    },
                )
            })
            .collect(),
        teams: value
            .teams
            .into_iter()
            .map(|(name, key)| (name, team(key)))
            .collect(),
        version: 1,
    }
}

fn pipeline(stages: Vec<id::Stage>) -> Pipeline {
    Pipeline {
        deadline: None,
        stages: stages
            .into_iter()
            .map(|name| Stage {
                pool: name.as_str().into(),
                name,
            })
            .collect(),
    }
}

fn team(key: String) -> Team {
    Team {
        classes: BTreeMap::new(),
        default: Class::default(),
        key_sha256: Some(key),
    }
}
