//! The control thread, the only owner of this host's control state.

use {
    crate::{
        coordination::{
            claims::{self, Claims},
            leases::{self, Leases},
            membership::{self, Membership},
            published_view::PublishedView,
            scheduling::{self, Scheduling},
            settings::{self, Settings},
        },
        state::{clock::Time, view::View},
        transport::boot_clock,
    },
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError},
        time::Duration,
    },
};

/// Interval between ticks of the control loop.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Event for one component of the control state.
#[derive(Debug)]
pub enum Event {
    Claims(claims::Event),
    Leases(leases::Event),
    Membership(membership::Event),
    Scheduling(scheduling::Event),
    Settings(settings::Event),
    /// Ends the control thread.
    Stop,
}

enum Next {
    Continue,
    Stop,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Control {
    pub claims: Claims,
    pub leases: Leases,
    pub membership: Membership,
    pub published: PublishedView,
    pub scheduling: Scheduling,
    pub settings: Settings,
    pub view: View,
}

impl Control {
    /// Handles events until [`Event::Stop`] arrives or all senders are dropped.
    pub fn run(mut self, receiver: &Receiver<Event>) {
        let mut last_tick = boot_clock::now();

        loop {
            let next = match receiver.recv_timeout(TICK_INTERVAL) {
                Ok(event) => self.handle(boot_clock::now(), event),
                Err(RecvTimeoutError::Disconnected) => Next::Stop,
                Err(RecvTimeoutError::Timeout) => Next::Continue,
            };

            if matches!(next, Next::Stop) {
                return;
            }

            let now = boot_clock::now();

            if now.since(last_tick) >= TICK_INTERVAL {
                last_tick = now;
                self.tick(now);
            }
        }
    }

    fn handle(&mut self, now: Time, event: Event) -> Next {
        let view = &mut self.view;

        match event {
            Event::Claims(event) => self.claims.handle(now, event, view),
            Event::Leases(event) => self.leases.handle(now, event, view),
            Event::Membership(event) => {
                let phase = view.local.phase;
                self.membership.handle(now, event, view);

                // Published at once, so that no request is accepted after a
                // change of phase.
                if view.local.phase != phase {
                    self.published.set(view.clone());
                }
            }
            Event::Scheduling(event) => {
                if Scheduling::update_endpoints(&event, view) {
                    self.published.set(view.clone());
                }

                self.scheduling.handle(now, event);
            }
            Event::Settings(event) => self.settings.handle(now, event, view),
            Event::Stop => return Next::Stop,
        }

        Next::Continue
    }

    fn tick(&mut self, now: Time) {
        let view = &mut self.view;

        self.claims.tick(now, view);
        self.leases.tick(now, view);
        self.membership.tick(now, view);
        self.settings.tick(now, view);
        self.scheduling.tick(now, view);
        self.published.set(view.clone());
    }
}
