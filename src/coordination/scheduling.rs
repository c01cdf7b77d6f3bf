//! Drives the scheduler in the control thread.

use {
    crate::state::{
        action::Action, backlog, clock::Time, endpoint_row, event, fleet::member::Member, id,
        scheduler::Scheduler, view::View,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, mpsc::Sender},
    },
};

/// An event that concerns the scheduling.
#[derive(Debug)]
pub enum Event {
    /// Requests the rows of the backlog.
    Backlog(Sender<Vec<backlog::Row>>),
    /// Requests the endpoints and the counters.
    Endpoints(Sender<SchedulerReport>),
    /// Registers the channel for the actions of a request.
    Register {
        actions: Sender<Action>,
        request: id::Request,
    },
    /// Passes an event to the scheduler.
    Scheduler(event::Event),
}

/// The scheduler's endpoints and counters, for operators and gauges.
#[derive(Clone, Debug)]
pub struct SchedulerReport {
    pub counters: BTreeMap<&'static str, u64>,
    pub endpoints: Vec<endpoint_row::Row>,
}

/// The scheduler and the channels of the requests in progress.
#[derive(Debug)]
pub struct Scheduling {
    actions: Vec<Action>,
    channels: HashMap<id::Request, Sender<Action>>,
    members: Arc<Vec<Member>>,
    policy_version: u64,
    scheduler: Scheduler,
}

impl Scheduling {
    /// Creates the driver of a scheduler.
    pub fn new(scheduler: Scheduler) -> Self {
        Self {
            actions: Vec::new(),
            channels: HashMap::new(),
            members: Arc::default(),
            policy_version: 0,
            scheduler,
        }
    }

    /// Copies a new list of endpoints into the view. Returns whether the event
    /// has one. The view must be published before the scheduler handles the
    /// event, since request threads look up the endpoints of their attempts in
    /// the published view.
    pub fn update_endpoints(event: &Event, view: &mut View) -> bool {
        let Event::Scheduler(event::Event::Endpoints(endpoints)) = event else {
            return false;
        };

        view.endpoints = Arc::new(endpoints.clone());
        true
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Backlog(reply) => {
                let _ = reply.send(self.scheduler.backlog(now));
            }
            Event::Endpoints(reply) => {
                let _ = reply.send(SchedulerReport {
                    counters: self.scheduler.counters(),
                    endpoints: self.scheduler.endpoints(now),
                });
            }
            Event::Register { actions, request } => {
                self.channels.insert(request, actions);
            }
            Event::Scheduler(event) => self.handle_scheduler_event(now, event),
        }
    }

    /// Passes changes of the view to the scheduler, and advances it.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        if view.policy.version != self.policy_version {
            self.policy_version = view.policy.version;
            let policy = Arc::clone(&view.policy);
            self.handle_scheduler_event(now, event::Event::Policy(policy));
        }

        if !Arc::ptr_eq(&view.members, &self.members) {
            self.members = Arc::clone(&view.members);
            let demands = self.members.iter().map(|member| member.demand.clone());
            self.handle_scheduler_event(now, event::Event::Peers(demands.collect()));
        }

        self.handle_scheduler_event(now, event::Event::Tick);
        view.local.outstanding = self.scheduler.outstanding();
        view.local.demand = self.scheduler.demand();
    }

    fn handle_scheduler_event(&mut self, now: Time, event: event::Event) {
        let ended = match &event {
            event::Event::Ended { request } => Some(request.clone()),
            _ => None,
        };

        self.scheduler.handle(now, event, &mut self.actions);

        for action in self.actions.drain(..) {
            if let Action::Warned(row) = &action {
                log::warn!(
                    team = row.team.as_str(),
                    stage = row.stage.as_str(),
                    class = row.class.as_str();
                    "the backlog of pool {} turns late by {} ms with {} requests",
                    row.pool,
                    row.lateness.as_millis(),
                    row.depth
                );
            }

            if let Some(channel) = action
                .request()
                .and_then(|request| self.channels.get(request))
            {
                let _ = channel.send(action);
            }
        }

        if let Some(request) = ended {
            self.channels.remove(&request);
        }
    }
}
