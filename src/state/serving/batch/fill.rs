//! Assigns queued pieces to endpoints: chooses the endpoint of the next call
//! and the pieces in it.

use {
    crate::state::{
        clock::Time,
        id,
        serving::{
            batch::{
                Action, Call, Dispatcher, Item,
                active_job::{Rank, Urgency},
                call::Member,
                endpoint_state::EndpointState,
                value::Order,
            },
            piece::JobId,
            roster::Entry,
        },
    },
    std::sync::Arc,
};

/// Share of a call's pieces for late jobs that are about to miss their deadline,
/// before those of jobs that are on time.
pub(super) const LAST_CHANCE_SHARE: f64 = 0.5;

/// Number of queued pieces, relative to the capacity of all call slots of the
/// pool, above which no piece waits for an endpoint in its own domain.
const BACKLOGGED_RATIO: f64 = 0.4;

impl Dispatcher {
    /// Sends calls while an endpoint has a free slot and pieces are queued.
    pub(super) fn dispatch_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.replan(now);
        let mut skipped = Vec::new();

        while let Some(endpoint) = self.next_endpoint(now, &skipped) {
            if self.queued() == 0 {
                return;
            }

            if !self.send_call(now, &endpoint, actions) {
                skipped.push(endpoint);
            }
        }
    }

    /// Returns the endpoint for the next call. Endpoints in `skipped` cannot
    /// take any of the queued pieces.
    fn next_endpoint(&self, now: Time, skipped: &[id::Endpoint]) -> Option<id::Endpoint> {
        let slots = self.pool.slots;
        let usable = self.endpoints.values().filter(|state| {
            !state.entry.leaving
                && state.calls < slots
                && !state.health.is_paused(now)
                && self.cold.allows(now, &state.entry)
                && !skipped.contains(&state.entry.endpoint)
        });
        let usable = usable.collect::<Vec<&EndpointState>>();

        if usable.len() < 2 {
            return usable.first().map(|state| state.entry.endpoint.clone());
        }

        let preferred = self.first_domain(now);
        let call = self.call_time(self.pool.batch);

        usable
            .into_iter()
            .min_by_key(|state| {
                let in_other_domain = preferred
                    .as_ref()
                    .is_some_and(|preferred| *preferred != state.entry.domain);
                let latency_ratio = (state.latency_ratio(now, call) * 4.0) as u64;
                (state.is_slow(now, call), in_other_domain, latency_ratio)
            })
            .map(|state| state.entry.endpoint.clone())
    }

    /// Returns the domain of the first job in dispatch order.
    fn first_domain(&self, now: Time) -> Option<id::Domain> {
        let active_jobs = self
            .active_jobs
            .values()
            .filter(|active| active.waiting > 0);
        let call = self.call_time(self.pool.batch);
        let first = active_jobs.min_by_key(|active| active.rank(now, call, None))?;
        first.job.domain.clone()
    }

    /// Sends a call to the endpoint. Returns false if none of the queued pieces
    /// can go to it.
    fn send_call(&mut self, now: Time, endpoint: &id::Endpoint, actions: &mut Vec<Action>) -> bool {
        let Some(entry) = self
            .endpoints
            .get(endpoint)
            .map(|state| Arc::clone(&state.entry))
        else {
            return false;
        };
        let chosen = self.choose_pieces(now, &entry);

        if chosen.is_empty() {
            return false;
        }

        let items = chosen
            .iter()
            .map(|member| {
                let active = &self.active_jobs[&member.job];
                Item {
                    input: active.job.input.clone(),
                    piece: active.job.pieces[member.piece],
                    remaining: active.deadline.since(now),
                    request: active.job.request.clone(),
                    stage: active.job.stage,
                }
            })
            .collect::<Vec<Item>>();
        let sizes = chosen
            .iter()
            .map(|member| self.active_jobs[&member.job].output_bytes);
        let bytes = sizes.collect::<Vec<u64>>();
        let longest = items.iter().map(|item| item.remaining).max();
        let call = self.next_call;
        self.next_call += 1;
        let usual = self.call_time(items.len());
        let state = self.endpoints.get(endpoint);
        let (pace, load) = state.map_or((1.0, 1.0), |state| {
            let pace = &state.pace;
            (pace.expected(now, usual), pace.known(now, usual))
        });
        self.calls.insert(
            call,
            Call {
                bytes: bytes.clone(),
                endpoint: endpoint.clone(),
                expected: usual.mul_f64(pace),
                incarnation: entry.incarnation,
                items: chosen,
                load,
                pace,
                sent: now,
                is_straggler: false,
            },
        );

        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.calls += 1;
            state.health.record_request(now);
            state.reserved += bytes.iter().sum::<u64>();
        }

        self.cold.record_request(now, &entry);
        actions.push(Action::Send {
            call,
            entry,
            items,
            timeout: longest.unwrap_or_default(),
        });
        true
    }

    /// Removes the pieces of the next call from the queue. Skips pieces that
    /// wait for their own domain, whose output does not fit, or whose retry
    /// exceeds the budget.
    fn choose_pieces(&mut self, now: Time, entry: &Entry) -> Vec<Member> {
        let call = self.call_time(self.pool.batch);
        let mut order = self
            .active_jobs
            .values()
            .filter(|active| active.waiting > 0)
            .map(|active| {
                let rank = active.rank(now, call, Some(&entry.domain));
                (rank, active.job.id.clone())
            })
            .collect::<Vec<(Rank, JobId)>>();
        self.limit_last_chances(now, &mut order);
        order.sort();
        self.planning.add_credit(&self.pool);
        let mut chosen = Vec::new();
        let state = self.endpoints.get(&entry.endpoint);
        let mut free_storage = state.map_or(0, |state| state.free_storage(now, &self.pool));

        let domains = self.open_domains(now);
        let backlogged = self.is_backlogged();

        for (rank, id) in order {
            let active = self
                .active_jobs
                .get_mut(&id)
                .expect("the job was just listed");

            if !backlogged && active.waits_for_domain(now, &entry.domain, &domains) {
                continue;
            }

            for index in 0..active.pieces.len() {
                if chosen.len() >= self.pool.batch {
                    return chosen;
                }

                let output_bytes = active.output_bytes;
                let piece = &mut active.pieces[index];

                if !piece.queued || output_bytes > free_storage {
                    continue;
                }

                let is_retry = piece.attempts > 0;

                if is_retry && !self.budget.withdraw(now, &self.bounds, self.hosts, 1) {
                    // The call of a straggler may still succeed.
                    if piece.running == 0 {
                        active.starved_since.get_or_insert(now);
                    }

                    continue;
                }

                if is_retry {
                    active.starved_since = None;
                }

                if self.order == Order::Value && !active.has_begun() {
                    self.planning.record_begin(now, active, rank.urgency);
                }

                let piece = &mut active.pieces[index];
                piece.attempts += 1;
                piece.running += 1;
                active.queue(index, false);
                free_storage -= output_bytes;
                chosen.push(Member {
                    admission: active.admission,
                    job: id.clone(),
                    piece: index,
                });
            }
        }

        chosen
    }

    /// Moves last chances that exceed their share of a call behind the jobs that
    /// are on time. Without a limit, a long overload makes every job late.
    fn limit_last_chances(&self, now: Time, order: &mut [(Rank, JobId)]) {
        order.sort();
        let mut budget = self.last_chances(now);

        for (rank, id) in order {
            let is_last_chance = rank.urgency == Urgency::LastChance && !rank.has_begun();

            if is_last_chance && !budget.take(&self.active_jobs[id]) {
                rank.urgency = Urgency::Late;
            }
        }
    }

    /// Returns whether the queue is so long that filling a free slot matters
    /// more than avoiding traffic between domains.
    fn is_backlogged(&self) -> bool {
        let capacity = self.endpoints.len() * self.pool.slots * self.pool.batch;
        self.queued() as f64 > capacity as f64 * BACKLOGGED_RATIO
    }

    /// Returns the domains of endpoints that accept calls and are not slow.
    fn open_domains(&self, now: Time) -> Vec<id::Domain> {
        let call = self.call_time(self.pool.batch);
        let open = self.endpoints.values().filter(|state| {
            !state.entry.leaving && !state.health.is_paused(now) && !state.is_slow(now, call)
        });
        open.map(|state| state.entry.domain.clone()).collect()
    }
}
