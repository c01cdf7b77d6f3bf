//! Requests that run at most once: tickets, witnesses and what is known of a run.

pub mod at_most_once;
pub mod home;
pub mod refusal;
pub mod resolution;
pub mod witness;
