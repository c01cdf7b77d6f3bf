//! The part of the control thread that drives the scheduler.

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

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// Asks for the rows of the backlog.
    Backlog(Sender<Vec<backlog::Row>>),
    /// Asks for the endpoints and the counters.
    Endpoints(Sender<Report>),
    /// A request thread registers where its actions go.
    Register {
        actions: Sender<Action>,
        request: id::Request,
    },
    /// An event for the scheduler.
    Scheduler(event::Event),
}

/// What the scheduler tells operators.
#[derive(Clone, Debug)]
pub struct Report {
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
    /// Builds the part around a scheduler.
    pub fn new(scheduler: Scheduler) -> Self {
        Self {
            actions: Vec::new(),
            channels: HashMap::new(),
            members: Arc::default(),
            policy_version: 0,
            scheduler,
        }
    }

    /// Takes a new list of endpoints into the view and returns whether there
    /// was one. The view is published before the scheduler sees the list,
    /// since a request thread looks up the endpoint it is sent to there.
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
                let _ = reply.send(Report {
                    counters: self.scheduler.counters(),
                    endpoints: self.scheduler.endpoints(now),
                });
            }
            Event::Register { actions, request } => {
                self.channels.insert(request, actions);
            }
            Event::Scheduler(event) => self.schedule(now, event),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        if view.policy.version != self.policy_version {
            self.policy_version = view.policy.version;
            let policy = Arc::clone(&view.policy);
            self.schedule(now, event::Event::Policy(policy));
        }

        if !Arc::ptr_eq(&view.members, &self.members) {
            self.members = Arc::clone(&view.members);
            let demands = self.members.iter().map(|member| member.demand.clone());
            self.schedule(now, event::Event::Peers(demands.collect()));
        }

        self.schedule(now, event::Event::Tick);
        view.local.outstanding = self.scheduler.outstanding();
        view.local.demand = self.scheduler.demand();
    }

    fn schedule(&mut self, now: Time, event: event::Event) {
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
