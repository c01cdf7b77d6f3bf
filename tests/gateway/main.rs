//! The caller interface of one host, against fake endpoints.

mod answers;
mod limits;
mod peers;
mod records;
mod runner;
mod stop;
mod support;
