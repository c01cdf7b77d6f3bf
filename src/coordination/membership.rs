//! The part of the control thread that keeps the view of the other hosts.

use crate::state::{clock::Time, view::View};

/// An event for this part.
#[derive(Debug)]
pub enum Event {}

/// The state of this part.
#[derive(Debug, Default)]
pub struct Membership {}

impl Membership {
    /// Handles one event.
    pub fn handle(&mut self, _now: Time, event: Event, _view: &mut View) {
        match event {}
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Time, _view: &mut View) {}
}
