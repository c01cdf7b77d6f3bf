//! The caller interface of one host, against fake endpoints.

mod answers;
mod limits;
mod records;
mod runner;
mod support;
