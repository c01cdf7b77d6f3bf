//! The part of the control thread that applies and passes on settings.

use {
    crate::state::{clock::Time, view::View},
    std::sync::mpsc::Sender,
};

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// A peer asks for the changes after a version, as JSON text.
    ChangesAfter { reply: Sender<String>, version: u64 },
}

/// The state of this part.
#[derive(Debug, Default)]
pub struct Settings {}

impl Settings {
    /// Handles one event.
    pub fn handle(&mut self, _now: Time, event: Event, _view: &mut View) {
        match event {
            Event::ChangesAfter { reply, version } => drop((reply, version)),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Time, _view: &mut View) {}
}
