//! Applies changed objects to the local copies and the published view.

use {
    crate::{
        coordination::serving::control::Control,
        protocol::adapter::Kind,
        state::{
            clock::Time,
            id,
            serving::{
                mirror::Changes,
                roster::{Entry, Roster},
            },
        },
    },
    std::sync::Arc,
};

impl Control {
    pub(super) fn apply(&mut self, now: Time, kind: Kind, changes: &Changes, source: &'static str) {
        let replica = self.replicas.entry(kind).or_default();

        let changed = replica.mirror.apply(changes);
        replica.answer_waiters(now);

        if !changed {
            return;
        }

        replica.catch_up.record_change();

        match kind {
            Kind::Config => self.apply_config(now, source),
            Kind::Endpoints => self.apply_endpoints(source, changes),
        }
    }

    fn apply_config(&mut self, now: Time, source: &'static str) {
        let replica = &self.replicas[&Kind::Config];
        let Some(object) = replica
            .mirror
            .objects()
            .max_by_key(|object| object.revision)
        else {
            return;
        };
        let revision = object.revision;

        match self.store.config(object.value.as_bytes()) {
            Ok(config) => {
                let version = config.version;
                let current = self
                    .view
                    .config
                    .as_ref()
                    .map_or(0, |current| current.version);

                if version < current {
                    log::warn!(
                        version = version,
                        known = current;
                        "ignored a configuration older than the one in force"
                    );
                    return;
                }

                log::info!(
                    version = version,
                    revision = revision,
                    routes = config.route_count(),
                    source = source;
                    "configuration in force"
                );

                for (route, fault) in config.unrunnable_routes() {
                    log::error!(
                        version = version,
                        route = route.name.as_str();
                        "requests of the route are refused: {fault}"
                    );
                }

                self.view.config = Some(Arc::new(config));
                self.view.config_since = now;
                self.publish();
            }
            Err(fault) => log::error!(revision = revision; "configuration refused: {fault}"),
        }
    }

    /// Closes an endpoint that said in an answer that it is leaving.
    pub(super) fn apply_departure(&mut self, now: Time, endpoint: &id::Endpoint, incarnation: u64) {
        if !self.departures.record(now, endpoint, incarnation) {
            return;
        }

        let entries = self.view.roster.entries().map(|entry| Entry::clone(entry));
        let entries = entries.collect();
        let revision = self.replicas[&Kind::Endpoints].mirror.revision();
        self.publish_roster(entries, "answer", revision.unwrap_or(0));
    }

    fn apply_endpoints(&mut self, source: &'static str, changes: &Changes) {
        let replica = &self.replicas[&Kind::Endpoints];
        let mut entries = Vec::new();

        for object in replica.mirror.objects() {
            match self.store.endpoint(&object.name, object.value.as_bytes()) {
                Ok(entry) => entries.push(entry),
                Err(fault) if changes.objects.contains(object) => {
                    log::warn!(endpoint = object.name.as_str(); "entry passed over: {fault}");
                }
                // Already logged when the object arrived.
                Err(_) => {}
            }
        }

        self.view.roster_loaded = true;
        self.publish_roster(entries, source, changes.revision);
    }

    fn publish_roster(&mut self, entries: Vec<Entry>, source: &'static str, revision: u64) {
        let entries = entries.into_iter().map(|entry| Entry {
            leaving: self.departures.includes(&entry),
            ..entry
        });
        let roster = Roster::new(entries);
        log_changes(&self.view.roster, &roster, source, revision);
        self.view.roster = Arc::new(roster);
        self.publish();
    }
}

fn log_changes(old: &Roster, new: &Roster, source: &'static str, revision: u64) {
    for entry in new.entries() {
        let previous = old.get(&entry.endpoint);

        if previous.is_none_or(|previous| previous != entry) {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                address = entry.address.to_string().as_str(),
                domain = entry.domain.as_str(),
                leaving = entry.leaving.to_string().as_str(),
                incarnation = entry.incarnation,
                source = source,
                revision = revision;
                "endpoint listed"
            );
        }
    }

    for entry in old.entries() {
        if new.get(&entry.endpoint).is_none() {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                source = source,
                revision = revision;
                "endpoint removed"
            );
        }
    }
}
