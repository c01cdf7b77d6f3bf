//! Measures the cost of running a request at most once.

use {
    crate::{
        caller::{Caller, Outcome, body},
        deployment,
        sample::Sample,
    },
    persimmoncleat::coordination::tickets::Tickets,
    stand_ins::fleet::FLEET_KEY,
};

const CALLS: usize = 250;

/// Alternates between requests with a ticket and repeatable requests. A single
/// host issues tickets without a witness, which separates the round trip to the
/// witness from the other costs of a ticket.
pub fn run() {
    println!("\n## 3. Cost of the ticket and of the witness\n");
    println!(
        "| hosts | call | calls | median ms | p99 ms | median over repeatable ms | ratio of medians |"
    );
    println!("|--:|---|--:|--:|--:|--:|--:|");

    for hosts in [1, 2] {
        measure(hosts);
    }
}

fn measure(hosts: usize) {
    let fleet = deployment::start(hosts);
    let caller = Caller::new(fleet.host_named("h1").caller_address());
    let tickets = Tickets::new(FLEET_KEY.as_bytes());
    let body = body();
    deployment::warm_up(&caller, "publish");
    let (mut issue, mut once, mut repeatable) =
        (Sample::default(), Sample::default(), Sample::default());

    for _ in 0..CALLS {
        let outcome = repeatable.time(|| caller.post("publish", &body));
        assert_eq!(outcome, Outcome::Answered);
        let ticket = issue.time(|| caller.ticket("publish", &body));
        let outcome = once.time(|| caller.post_once("publish", &body, &ticket));
        assert_eq!(outcome, Outcome::Answered);
        let ticket = tickets.verify(&ticket.ticket).expect("a ticket");
        assert_eq!(ticket.witness.is_some(), hosts > 1);
    }

    let post = if hosts > 1 {
        "with a ticket that names a witness"
    } else {
        "with a ticket without a witness"
    };

    for (call, sample) in [
        ("repeatable request", &repeatable),
        (post, &once),
        ("ticket itself", &issue),
    ] {
        println!(
            "| {hosts} | {call} | {} | {:.2} | {:.2} | {:+.2} | {:.3} |",
            sample.len(),
            sample.median(),
            sample.p99(),
            sample.median() - repeatable.median(),
            sample.median() / repeatable.median(),
        );
    }
}
