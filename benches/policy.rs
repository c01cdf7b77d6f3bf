//! Compares the product's scheduler in virtual time with simpler policies, and
//! with variants of itself that each lack one mechanism.
//!
//! `cargo bench --bench policy [-- FILTER]` runs every scenario whose name
//! contains FILTER. The targets are checked only if all scenarios run, and the
//! cost per event is measured only without FILTER.

#[path = "policy/baseline.rs"]
mod baseline;
#[path = "policy/cost.rs"]
mod cost;
#[path = "policy/deployment.rs"]
mod deployment;
#[path = "policy/fake_endpoint.rs"]
mod fake_endpoint;
#[path = "policy/outcome.rs"]
mod outcome;
#[path = "policy/scenario.rs"]
mod scenario;
#[path = "policy/simulation.rs"]
mod simulation;
#[path = "policy/table.rs"]
mod table;
#[path = "policy/target.rs"]
mod target;
#[path = "policy/traffic.rs"]
mod traffic;
#[path = "policy/variant.rs"]
mod variant;

use {
    deployment::Deployment,
    scenario::Scenario,
    simulation::Simulation,
    std::{
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Instant,
    },
    table::Series,
    target::Results,
    variant::Variant,
};

const SEEDS: [u64; 3] = [11, 12, 13];
/// Number of simulations that run in parallel.
const THREADS: usize = 4;

fn main() {
    let started = Instant::now();
    let filter = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    let scenarios: Vec<Scenario> = Scenario::ALL
        .into_iter()
        .filter(|scenario| {
            let filter = filter.as_deref().unwrap_or("");
            scenario.name().contains(filter)
        })
        .collect();
    println!("seeds {SEEDS:?}; median and half the range over seeds");

    for deployment in [deployment::ALMANACS, deployment::CHAIRS] {
        let results = run(&deployment, &scenarios);

        for scenario in &scenarios {
            print(&deployment, *scenario, &results);
        }

        if scenarios.len() == Scenario::ALL.len() {
            target::print(&deployment, &results);
        }
    }

    if filter.is_none() {
        costs();
    }

    println!("took {:.0} s", started.elapsed().as_secs_f64());
}

/// Prints the time per event of the product's scheduler at several sizes.
fn costs() {
    println!("microseconds per event: served at once, behind a queue");

    for endpoints in [18, 1000, 12_000] {
        for teams in [10, 1000, 8500] {
            let (idle, queued) = cost::measure(endpoints, teams);
            println!("  {endpoints:6} endpoints {teams:5} teams {idle:8.2} {queued:8.2}");
        }
    }
}

/// Prints the table of one scenario, with a row for each variant.
fn print(deployment: &Deployment, scenario: Scenario, results: &Results) {
    println!("\n{}: {}", deployment.name, scenario.name());
    println!(
        "  {:13} {:>10} {:>10} {:>10} {:>10} {:>10} {:>6} {:>6} {:>6} {:>8} {:>5}  by class; endpoint-seconds by stage",
        "policy",
        "attained",
        "kept",
        "worst team",
        "refused",
        "late",
        "age s",
        "ampl",
        "drafts",
        "tokens",
        "rec s"
    );

    for variant in Variant::ALL {
        let series = &results[&(scenario, variant)];
        let classes: Vec<String> = series
            .names("class ")
            .iter()
            .map(|name| {
                let value = series.median(&format!("class {name}"));
                format!("{name} {:.1}", value * 100.0)
            })
            .collect();
        let seconds: Vec<String> = series
            .names("seconds ")
            .iter()
            .map(|name| format!("{name} {:.3}", series.median(&format!("seconds {name}"))))
            .collect();
        println!(
            "  {:13} {:>10} {:>10} {:>10} {:>10} {:>10} {:6.2} {:6.3} {:6.2} {:8.1} {:5.0}  {}; {}",
            variant.name(),
            series.percent("attained"),
            series.percent("kept"),
            series.percent("worst"),
            series.percent("refused"),
            series.percent("late"),
            series.median("age"),
            series.median("attempts"),
            series.median("drafts"),
            series.median("tokens generate"),
            series.median("recovery"),
            classes.join(", "),
            seconds.join(", "),
        );
    }
}

/// Runs every combination of scenario, variant and seed on [`THREADS`] threads.
fn run(deployment: &Deployment, scenarios: &[Scenario]) -> Results {
    let jobs: Vec<(Scenario, Variant, u64)> = scenarios
        .iter()
        .flat_map(|scenario| Variant::ALL.map(|variant| (*scenario, variant)))
        .flat_map(|(scenario, variant)| SEEDS.map(|seed| (scenario, variant, seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Results::new());

    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((scenario, variant, seed)) =
                    jobs.get(next.fetch_add(1, Ordering::Relaxed)).copied()
                {
                    let outcome = Simulation::run(deployment, scenario, variant, seed);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    let series: &mut Series = results.entry((scenario, variant)).or_default();
                    series.add(&outcome.figures);
                }
            });
        }
    });

    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}
