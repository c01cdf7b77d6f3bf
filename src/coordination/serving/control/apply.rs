//! Applies changed objects to the local copies and the published view.

use {
    crate::{
        coordination::serving::control::{Control, replica::Replica},
        protocol::adapter::{Fault, Kind},
        state::{
            clock::Time,
            id,
            serving::{
                cold,
                evacuation::Change,
                mirror::Changes,
                roster::{Entry, Roster},
            },
        },
    },
    std::{collections::HashSet, sync::Arc, time::Duration},
};

impl Control {
    pub(super) fn apply(&mut self, now: Time, kind: Kind, changes: &Changes, source: &'static str) {
        let replica = self.replicas.entry(kind).or_default();

        log_restore(kind, replica, changes);
        let changed = replica.mirror.apply(changes);
        replica.answer_waiters(now);

        if !changed {
            return;
        }

        replica.catch_up.record_change();

        match kind {
            Kind::Config => self.apply_config(now, source),
            Kind::Endpoints => self.apply_endpoints(now, source, changes),
            Kind::Evacuations => self.apply_evacuations(now, source),
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
                // The endpoints of a service may start differently now.
                self.publish_roster(now);
            }
            Err(fault) => log::error!(revision = revision; "configuration refused: {fault}"),
        }
    }

    /// Closes an endpoint that said in an answer that it is leaving.
    pub(super) fn apply_departure(&mut self, now: Time, endpoint: &id::Endpoint, incarnation: u64) {
        if !self.departures.record(now, endpoint, incarnation) {
            return;
        }

        let Some(listed) = &self.listed else {
            return;
        };
        let entries = listed.entries().map(|entry| Entry::clone(entry));
        let entries = entries.collect();
        let revision = self.replicas[&Kind::Endpoints].mirror.revision();
        self.apply_entries(now, entries, "answer", revision.unwrap_or(0), &[]);
    }

    fn apply_endpoints(&mut self, now: Time, source: &'static str, changes: &Changes) {
        let replica = &self.replicas[&Kind::Endpoints];
        let mut entries = Vec::new();
        let mut arrived = Vec::new();

        for object in replica.mirror.objects() {
            let is_new = changes.objects.contains(object);
            let value = object.value.as_bytes();

            match self.store.endpoint(&object.name, value) {
                Ok(entry) => {
                    if is_new {
                        log_ignored(&object.name, &self.store.ignored_faults(value));
                        arrived.push(entry.endpoint.clone());
                    }

                    entries.push(entry);
                }
                Err(fault) if is_new => {
                    log::warn!(endpoint = object.name.as_str(); "entry passed over: {fault}");
                }
                // Already logged when the object arrived.
                Err(_) => {}
            }
        }

        self.apply_entries(now, entries, source, changes.revision, &arrived);
    }

    /// Replaces the listed endpoints. The entries of those in `arrived` were written
    /// just now.
    fn apply_entries(
        &mut self,
        now: Time,
        entries: Vec<Entry>,
        source: &'static str,
        revision: u64,
        arrived: &[id::Endpoint],
    ) {
        let entries = entries.into_iter().map(|entry| Entry {
            leaving: self.departures.includes(&entry),
            ..entry
        });
        let listed = Roster::new(entries);
        let previous = self.listed.take().unwrap_or_default();
        log_changes(&previous, &listed, source, revision);
        let arrived = arrived.iter().collect::<HashSet<&id::Endpoint>>();
        self.starts
            .update(now, &listed, |endpoint| arrived.contains(endpoint));
        self.listed = Some(listed);
        self.publish_roster(now);
    }

    fn apply_evacuations(&mut self, now: Time, source: &'static str) {
        let replica = &self.replicas[&Kind::Evacuations];
        let age = now.since(replica.confirmed_at);
        let names = replica.mirror.objects();
        let names = names.map(|object| object.name.as_str().into());

        for change in self.evacuations.update(now, names) {
            match &change {
                Change::Began(domain) => self.log_evacuation(domain, source, age),
                Change::Ended(domain, in_force) => {
                    if let Some(listed) = &self.listed {
                        self.starts.reopen(now, domain, listed);
                    }

                    log::info!(
                        domain = domain.as_str(),
                        in_force_ms = in_force.as_millis(),
                        source = source;
                        "evacuation ended"
                    );
                }
            }
        }

        let domains = self.evacuations.domains().cloned();
        self.view.evacuated = Arc::new(domains.collect());
        self.publish_roster(now);
    }

    fn log_evacuation(&self, domain: &id::Domain, source: &'static str, age: Duration) {
        let endpoints = self.listed.as_ref().map(|listed| {
            let entries = listed.entries();
            entries.filter(|entry| entry.domain == *domain).count()
        });

        if endpoints == Some(0) {
            log::warn!(domain = domain.as_str(); "evacuated domain has no endpoint");
        }

        log::info!(
            domain = domain.as_str(),
            age_ms = age.as_millis(),
            endpoints = endpoints,
            source = source;
            "evacuation in force"
        );
    }

    /// Publishes the endpoints as they may be used now. Before the first listing of the
    /// evacuations none may be.
    fn publish_roster(&mut self, now: Time) {
        if let Some(listed) = &self.listed
            && self.evacuations.are_listed()
        {
            let config = self.view.config.as_ref();
            let limit = |entry: &Entry| {
                let start = config?.services.get(&entry.service)?.cold?;
                Some(cold::Limit::new(start, self.options.cold?))
            };
            let entries = self.evacuations.close(listed).map(|entry| {
                let limit = limit(&entry);
                self.starts.mark(entry, limit)
            });
            let roster = Roster::new(entries);
            self.log_cold(now, &roster);
            self.view.roster = Arc::new(roster);
            self.view.roster_loaded = true;
        }

        self.publish();
    }

    /// Logs the endpoints that have become cold.
    fn log_cold(&self, now: Time, roster: &Roster) {
        for entry in roster.entries() {
            let previous = self.view.roster.get(&entry.endpoint);
            let known = previous.map_or(Time::ZERO, |previous| previous.cold.until);

            if let Some(limit) = entry.cold.limit
                && entry.cold.until > now.max(known)
            {
                let (until, cause) = self.starts.until(entry, limit);
                log::info!(
                    endpoint = entry.endpoint.as_str(),
                    service = entry.service.as_str(),
                    cause = cause.name(),
                    ms = until.since(now).as_millis();
                    "endpoint cold"
                );
            }
        }
    }
}

/// Logs an answer of a store that was restored, and one that is older than the copy.
fn log_restore(kind: Kind, replica: &mut Replica, changes: &Changes) {
    let known = replica.mirror.revision();

    if changes.era > replica.era && known.is_some() {
        log::warn!(
            kind = kind.name(),
            era = changes.era,
            known_era = replica.era,
            revision = changes.revision,
            known = known,
            whole = changes.whole.to_string().as_str();
            "the store was restored from an earlier copy"
        );
    }

    replica.era = replica.era.max(changes.era);

    if known > Some(changes.revision) && changes.whole {
        log::warn!(
            kind = kind.name(),
            era = changes.era,
            revision = changes.revision,
            known = known;
            "listing ignored: it is older than what is known"
        );
    }
}

/// Logs the fields of an entry that are ignored.
fn log_ignored(endpoint: &str, faults: &[Fault]) {
    for fault in faults {
        log::warn!(endpoint = endpoint; "field of an entry ignored: {fault}");
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
