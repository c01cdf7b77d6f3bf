//! Tests of a host's caller interface against fake endpoints.

mod answers;
mod fakes;
mod limits;
mod peers;
mod records;
mod runner;
mod script;
mod stop;
mod support;
