//! Fills endpoints with calls: which one is next, and which pieces it gets.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            batch::{Action, Call, Dispatcher, Item, node::Node, work::rank},
            piece::JobId,
            roster::Entry,
        },
    },
    std::sync::Arc,
};

/// Pieces that wait, relative to one full call of each endpoint, above which
/// no piece waits for its own domain.
const CROWDED: f64 = 0.4;

impl Dispatcher {
    /// Fills the endpoints that have a free place.
    pub(super) fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut passed = Vec::new();

        while let Some(endpoint) = self.free(now, &passed) {
            if self.queued() == 0 {
                return;
            }

            if !self.send(now, &endpoint, actions) {
                passed.push(endpoint);
            }
        }
    }

    /// Returns the endpoint that takes the next call, none of `passed`, which
    /// have no room for any piece that waits.
    fn free(&self, now: Time, passed: &[id::Endpoint]) -> Option<id::Endpoint> {
        let slots = self.pool.slots;
        let usable = self.nodes.values().filter(|node| {
            !node.entry.leaving
                && node.calls < slots
                && !node.health.is_paused(now)
                && !passed.contains(&node.entry.endpoint)
        });
        let usable = usable.collect::<Vec<&Node>>();

        if usable.len() < 2 {
            return usable.first().map(|node| node.entry.endpoint.clone());
        }

        let next = self.next_domain(now);

        usable
            .into_iter()
            .min_by_key(|node| {
                let away = next.as_ref().is_some_and(|next| *next != node.entry.domain);
                let slowness = (node.health.slowness() * 4.0) as u64;
                (node.health.is_slow(), away, slowness)
            })
            .map(|node| node.entry.endpoint.clone())
    }

    /// Returns the domain of the piece that is first in order.
    fn next_domain(&self, now: Time) -> Option<id::Domain> {
        let works = self.works.values().filter(|work| work.waiting > 0);
        let first = works.min_by_key(|work| rank(work, now, None))?;
        first.job.domain.clone()
    }

    fn send(&mut self, now: Time, endpoint: &id::Endpoint, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self.nodes.get(endpoint).map(|node| Arc::clone(&node.entry)) else {
            return false;
        };
        let chosen = self.choose(now, &entry);

        if chosen.is_empty() {
            return false;
        }

        let items = chosen
            .iter()
            .map(|(id, piece)| {
                let work = &self.works[id];
                Item {
                    input: work.job.input.clone(),
                    piece: work.job.pieces[*piece],
                    remaining: work.deadline.since(now),
                    request: work.job.request.clone(),
                    stage: work.job.stage,
                }
            })
            .collect::<Vec<Item>>();
        let sizes = chosen.iter().map(|(id, _)| self.works[id].output_bytes);
        let bytes = sizes.collect::<Vec<u64>>();
        let longest = items.iter().map(|item| item.remaining).max();
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(
            call,
            Call {
                bytes: bytes.clone(),
                endpoint: endpoint.clone(),
                expected: self.call_time(items.len()),
                incarnation: entry.incarnation,
                items: chosen,
                sent: now,
                straggles: false,
            },
        );

        if let Some(node) = self.nodes.get_mut(endpoint) {
            node.calls += 1;
            node.reserved += bytes.iter().sum::<u64>();
        }

        actions.push(Action::Send {
            call,
            entry,
            items,
            timeout: longest.unwrap_or_default(),
        });
        true
    }

    /// Takes the pieces of the next call out of the queue.
    fn choose(&mut self, now: Time, entry: &Entry) -> Vec<(JobId, usize)> {
        let mut order = self
            .works
            .values()
            .filter(|work| work.waiting > 0)
            .map(|work| (rank(work, now, Some(&entry.domain)), work.job.id.clone()))
            .collect::<Vec<_>>();
        order.sort();
        let mut chosen = Vec::new();
        let node = self.nodes.get(&entry.endpoint);
        let mut room = node.map_or(0, |node| node.room(now, &self.pool));

        let domains = self.open_domains(now);
        let crowded = self.is_crowded();

        for (_, id) in order {
            let work = self.works.get_mut(&id).expect("the job was just listed");

            if !crowded && work.waits_for_domain(now, &entry.domain, &domains) {
                continue;
            }

            for index in 0..work.pieces.len() {
                if chosen.len() >= self.pool.batch {
                    return chosen;
                }

                let output_bytes = work.output_bytes;
                let piece = &mut work.pieces[index];

                if !piece.queued || output_bytes > room {
                    continue;
                }

                let again = piece.attempts > 0;

                if again && !self.budget.take(now, &self.bounds, self.hosts, 1) {
                    continue;
                }

                piece.attempts += 1;
                piece.running += 1;
                work.queue(index, false);
                room -= output_bytes;
                chosen.push((id.clone(), index));
            }
        }

        chosen
    }

    /// Returns whether so much waits that every free place is worth more than
    /// the way between domains.
    fn is_crowded(&self) -> bool {
        let round = self.nodes.len() * self.pool.slots * self.pool.batch;
        self.queued() as f64 > round as f64 * CROWDED
    }

    /// Returns the domains with an endpoint that takes calls.
    fn open_domains(&self, now: Time) -> Vec<id::Domain> {
        let open = self.nodes.values().filter(|node| {
            !node.entry.leaving && !node.health.is_paused(now) && !node.health.is_slow()
        });
        open.map(|node| node.entry.domain.clone()).collect()
    }
}
