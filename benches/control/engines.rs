//! Measures the choice of engines for prompts.

use {
    crate::meter::{measure_bytes, measure_cpu, micros_per, to_f64},
    persimmoncleat::state::{
        clock::Time,
        serving::{
            balance::{Balancer, Part, Prompt, Report, Terms},
            cold::Cold,
            piece::JobId,
            quarantine::Quarantine,
            roster::Entry,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Tokens that fit into an engine's memory.
const CAPACITY: u64 = 332_000;

/// Number of prompts that are placed.
const PROMPTS: usize = 5000;

/// Number of sessions for each engine.
const SESSIONS: usize = 13;

/// Number of prompts that wait for their first event.
const PENDING: usize = 100;

fn entry(number: usize) -> Arc<Entry> {
    Arc::new(Entry {
        address: ([127, 0, 0, 1], 1000).into(),
        cold: Cold::default(),
        domain: format!("d{}", number % 6).into(),
        endpoint: format!("e{number}").into(),
        incarnation: 1,
        leaving: false,
        service: "s".into(),
        slots: 64,
    })
}

fn id(number: usize) -> JobId {
    JobId {
        home: "host-0001".into(),
        number: number as u64,
    }
}

fn prompt(number: usize, sessions: usize) -> Prompt {
    let part = |prefix: usize, tokens| Part {
        id: prefix as u64,
        prefix: prefix as u64,
        tokens,
    };
    let session = number % sessions;
    Prompt {
        domain: Some("d1".into()),
        exclude: Vec::new(),
        fingerprint: 0,
        id: id(number),
        parts: vec![
            part(session % 4, 2520),
            part(10 + session, 3780),
            part(1_000_000 + number, 2890),
        ],
        service: "s".into(),
        terms: Terms {
            remaining: Duration::from_secs(5),
            ..Terms::default()
        },
    }
}

/// Prints the cost of a choice and its report for several numbers of engines.
pub fn print(sizes: &[usize]) {
    println!("engines of prompts, on the balancing host");
    println!("{:>9} {:>12} {:>12}", "engines", "us/prompt", "KB kept");

    for count in sizes {
        let entries = (0..*count).map(entry).collect::<Vec<Arc<Entry>>>();
        let prompts = (0..PROMPTS)
            .map(|number| prompt(number, count * SESSIONS))
            .collect::<Vec<Prompt>>();
        let quarantine = Quarantine::default();
        let mut balancer = Balancer::default();
        balancer.update(entries.iter(), CAPACITY);
        let (((), time), bytes) = measure_bytes(|| {
            measure_cpu(|| {
                for (number, prompt) in prompts.iter().enumerate() {
                    let now = Time::from_millis(number as u64 * 3);
                    balancer.place(now, entries.iter(), prompt);

                    if let Some(started) = number.checked_sub(PENDING) {
                        balancer.report(now, &id(started), Report::Started, &quarantine);
                    }
                }
            })
        });
        println!(
            "{count:>9} {:>12.2} {:>12}",
            micros_per(time, to_f64(PROMPTS)),
            bytes / 1024
        );
    }

    println!();
}
