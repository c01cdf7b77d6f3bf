//! Applies changed objects to the local copies and the published view.

use {
    crate::{
        coordination::serving::control::Control,
        protocol::adapter::{Fault, Kind},
        state::{
            clock::Time,
            id,
            serving::{
                cold,
                evacuation::Change,
                mirror::{Changes, Mirror, Outcome},
                revision::Revision,
                roster::{Entry, Roster},
            },
        },
    },
    log::Level,
    std::{collections::HashSet, sync::Arc, time::Duration},
};

impl Control {
    pub(super) fn apply(&mut self, now: Time, kind: Kind, changes: &Changes, source: &'static str) {
        let replica = self.replicas.entry(kind).or_default();

        let outcome = replica.mirror.apply(changes);
        log_outcome(kind, &replica.mirror, &outcome, changes);
        replica.answer_waiters(now);

        if !outcome.is_change() {
            return;
        }

        replica.catch_up.record_change();
        let known = match outcome {
            Outcome::Restored { known } => Some(known),
            Outcome::Changed | Outcome::Ignored | Outcome::Unchanged => None,
        };

        if known.is_some() {
            self.keep_known(now, kind);
        }

        match kind {
            Kind::Config => self.apply_config(now, source),
            Kind::Endpoints => self.apply_endpoints(now, source, changes, known.as_deref()),
            Kind::Evacuations => self.apply_evacuations(now, source),
        }
    }

    /// Keeps what is in force and may only be missing from the copy from which the store
    /// was restored. The configuration in force needs nothing, since its version rises
    /// through all eras.
    fn keep_known(&mut self, now: Time, kind: Kind) {
        match kind {
            Kind::Config => {}
            Kind::Endpoints => {
                let Some(listed) = &self.listed else {
                    return;
                };

                for entry in listed.entries().filter(|entry| entry.leaving) {
                    self.departures
                        .record(now, &entry.endpoint, entry.incarnation);
                }

                self.restoration.begin(now, listed);
            }
            Kind::Evacuations => self.evacuations.keep(now),
        }
    }

    /// Gives up what was kept after a restore and has not been written again.
    pub(super) fn expire_kept(&mut self, now: Time) {
        if self.restoration.is_due(now) {
            self.relist(now, "restore");
        }

        if self.evacuations.is_due(now) {
            self.apply_evacuations(now, "restore");
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
                    era = replica.mirror.era(),
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
        if self.departures.record(now, endpoint, incarnation) {
            self.relist(now, "answer");
        }
    }

    /// Makes the list of endpoints again from the entries that are known.
    fn relist(&mut self, now: Time, source: &'static str) {
        if self.listed.is_none() {
            return;
        }

        let mirror = &self.replicas[&Kind::Endpoints].mirror;
        let entries = mirror.objects().filter_map(|object| {
            let value = object.value.as_bytes();
            // Already logged when the object arrived.
            self.store.endpoint(&object.name, value).ok()
        });
        let entries = entries.collect();
        let revision = mirror.revision().unwrap_or_default();
        self.apply_entries(now, entries, source, revision, &[]);
    }

    /// Applies changed entries. `known` is the copy of the entries before the store was
    /// restored, if that is the change.
    fn apply_endpoints(
        &mut self,
        now: Time,
        source: &'static str,
        changes: &Changes,
        known: Option<&Mirror>,
    ) {
        let replica = &self.replicas[&Kind::Endpoints];
        let mut entries = Vec::new();
        let mut arrived = Vec::new();

        for object in replica.mirror.objects() {
            // An entry that a restore has only given another revision was not written.
            let is_known = known.is_some_and(|known| known.has_value_of(object));
            let is_new = !is_known && changes.objects.contains(object);
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

        if known.is_none() {
            for endpoint in &arrived {
                self.restoration.record_written(endpoint);
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
        revision: Revision,
        arrived: &[id::Endpoint],
    ) {
        let entries = self.restoration.complete(now, entries);
        let entries = entries.into_iter().map(|entry| Entry {
            leaving: self.departures.includes(&entry),
            ..entry
        });
        let listed = Roster::new(entries);
        let previous = self.listed.take().unwrap_or_default();
        log_changes(&previous, &listed, source, revision);
        self.restoration.record_removals(now, &previous, &listed);
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

/// Logs the first listing of a restored store, and a listing that is older than the copy.
fn log_outcome(kind: Kind, copy: &Mirror, outcome: &Outcome, changes: &Changes) {
    let (level, known, message) = match outcome {
        Outcome::Restored { known } => (
            Level::Warn,
            known.revision(),
            "the store was restored from a copy",
        ),
        // A host that starts may get a peer's newer copy before its own listing.
        Outcome::Ignored if changes.whole => (
            Level::Info,
            copy.revision(),
            "listing ignored: it is older than what is known",
        ),
        Outcome::Changed | Outcome::Ignored | Outcome::Unchanged => return,
    };
    let known = known.unwrap_or_default();
    log::log!(
        level,
        kind = kind.name(),
        era = changes.revision.era,
        revision = changes.revision.number,
        known_era = known.era,
        known = known.number;
        "{message}"
    );
}

/// Logs the fields of an entry that are ignored.
fn log_ignored(endpoint: &str, faults: &[Fault]) {
    for fault in faults {
        log::warn!(endpoint = endpoint; "field of an entry ignored: {fault}");
    }
}

fn log_changes(old: &Roster, new: &Roster, source: &'static str, revision: Revision) {
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
                revision = revision.number;
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
                revision = revision.number;
                "endpoint removed"
            );
        }
    }
}
