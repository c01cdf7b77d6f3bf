//! Builds a policy from the settings tree.

use {
    crate::state::{
        class::Class,
        id, key,
        pipeline::{Pipeline, Stage},
        policy::{Policy, Team},
        pool::{Fencing, Kind, Pool},
        settings::path::{self, Subtree},
        settings::tree::Tree,
    },
    std::{collections::BTreeSet, str::FromStr, time::Duration},
};

impl Policy {
    /// Builds the policy of an entire tree.
    pub fn new(version: u64, tree: &Tree) -> Self {
        let mut policy = Self {
            version,
            ..Self::default()
        };
        policy.set_pipelines_and_pools(tree);

        for name in tree.children(Subtree::Teams.name()) {
            policy.set_team(tree, name);
        }

        policy
    }

    /// Builds the policy of a tree that differs from this policy's tree only at
    /// `paths`. There are many teams, so only those with a changed node are
    /// resolved again.
    #[must_use]
    pub fn updated<'a>(
        &self,
        version: u64,
        tree: &Tree,
        paths: impl Iterator<Item = &'a str>,
    ) -> Self {
        let mut names = BTreeSet::new();
        let root = Subtree::Teams.name();

        for path in paths.filter(|path| path::subtree(path) == Some(Subtree::Teams)) {
            match path.split('/').nth(1) {
                None => return Self::new(version, tree),
                Some(name) => names.insert(name),
            };
        }

        let mut policy = self.clone();
        policy.version = version;
        policy.set_pipelines_and_pools(tree);
        let teams = tree.children(root);

        for name in names {
            if teams.contains(name) {
                policy.set_team(tree, name);
            } else {
                policy.teams.remove(name);
            }
        }

        policy
    }

    fn set_pipelines_and_pools(&mut self, tree: &Tree) {
        self.pipelines = tree
            .children(Subtree::Pipelines.name())
            .into_iter()
            .map(|name| (name.into(), pipeline(tree, &format!("pipelines/{name}"))))
            .collect();
        self.pools = tree
            .children(Subtree::Pools.name())
            .into_iter()
            .map(|name| (name.into(), pool(tree, &format!("pools/{name}"))))
            .collect();
    }

    fn set_team(&mut self, tree: &Tree, name: &str) {
        let path = format!("teams/{name}");
        let classes = tree
            .children(&path)
            .into_iter()
            .map(|name| (name.into(), class(tree, &format!("{path}/{name}"))))
            .collect();
        let team = Team {
            classes,
            default: class(tree, &path),
            key_sha256: tree.get(&path, "key_sha256").map(Into::into),
        };
        self.teams.insert(name.into(), team);
    }
}

fn class(tree: &Tree, path: &str) -> Class {
    let default = Class::default();

    Class {
        concurrency: value(tree, path, "concurrency", default.concurrency),
        deadline: millis(tree, path, "deadline").unwrap_or(default.deadline),
        priority: value(tree, path, "priority", default.priority),
        queue_time: millis(tree, path, "queue_time").unwrap_or(default.queue_time),
        rate: value(tree, path, "rate", default.rate),
        share: value(tree, path, "share", default.share),
        weight: value(tree, path, "weight", default.weight),
    }
}

fn pipeline(tree: &Tree, path: &str) -> Pipeline {
    let stages = tree.get(path, "stages").map(key::names);

    Pipeline {
        deadline: millis(tree, path, "deadline"),
        stages: stages
            .into_iter()
            .flatten()
            .map(|name| Stage {
                name: name.into(),
                pool: tree
                    .resolve(&format!("{path}/{name}"), "pool")
                    .map_or_else(|| id::Pool::from(name), |resolved| resolved.value.into()),
            })
            .collect(),
    }
}

fn pool(tree: &Tree, path: &str) -> Pool {
    let default = Pool::default();
    let text = |key| tree.resolve(path, key).map(|resolved| resolved.value);

    Pool {
        concurrency_limit: value(tree, path, "concurrency_limit", default.concurrency_limit),
        fencing: match text("fencing") {
            Some("enforced") => Fencing::Enforced,
            _ => default.fencing,
        },
        hedge: text("hedge").map_or(default.hedge, |hedge| hedge == "on"),
        kind: match text("kind") {
            Some("engine") => Kind::Engine,
            Some("service") => Kind::Service,
            _ => default.kind,
        },
        model: text("model").map(Into::into),
        reports_load: text("reports_load") == Some("yes"),
    }
}

fn millis(tree: &Tree, path: &str, key: &str) -> Option<Duration> {
    let millis = tree.resolve(path, key)?.value.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn value<T: FromStr>(tree: &Tree, path: &str, key: &str, default: T) -> T {
    tree.resolve(path, key)
        .and_then(|resolved| resolved.value.parse().ok())
        .unwrap_or(default)
}
