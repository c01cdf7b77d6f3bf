//! The caller interface of one host, against fake endpoints.

mod answers;
mod runner;
mod support;
