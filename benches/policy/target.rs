//! The fixed targets, and whether a run met them.

use crate::{deployment::Deployment, scenario::Scenario, table::Series, variant::Variant};
use std::collections::BTreeMap;

pub type Results = BTreeMap<(Scenario, Variant), Series>;

const KEPT: f64 = 0.99;
const ATTEMPTS: f64 = 1.1;
const RECOVERY_S: f64 = 8.0;
const STRAGGLER_LOSS: f64 = 0.01;
const DRAFT_SHARE: f64 = 0.20;
/// Loss of attainment of urgent work beside a backlog that counts as none.
const URGENT_LOSS: f64 = 0.01;
/// Rounding of costs that are compared.
const COST_SLACK: f64 = 1.01;

/// Prints every target with the measured figure.
pub fn print(deployment: &Deployment, results: &Results) {
    let figure = |scenario, variant, name: &str| results[&(scenario, variant)].median(name);
    let product = |scenario, name: &str| figure(scenario, Variant::Product, name);
    let line = |met: bool, text: String| {
        println!("  {} {text}", if met { "met   " } else { "MISSED" });
    };

    println!("targets, {}", deployment.name);

    for scenario in [Scenario::Burst, Scenario::Metastable] {
        let kept = product(scenario, "kept");
        line(
            kept >= KEPT,
            format!(
                "{}: {:.2}% of accepted in time (>= 99%)",
                scenario.name(),
                kept * 100.0
            ),
        );
        let recovery = product(scenario, "recovery");
        line(
            recovery <= RECOVERY_S,
            format!("{}: recovery {recovery:.0} s (<= 8 s)", scenario.name()),
        );
    }

    let (worst, attempts) = Scenario::ALL
        .into_iter()
        .map(|scenario| (scenario, product(scenario, "attempts")))
        .fold((Scenario::Steady, 0.0), |most, next| {
            if next.1 > most.1 { next } else { most }
        });
    line(
        attempts <= ATTEMPTS,
        format!(
            "retry amplification at most {attempts:.3}, in: {} (<= 1.1)",
            worst.name()
        ),
    );

    let loss = product(Scenario::Steady, "attained") - product(Scenario::Straggler, "attained");
    line(
        loss < STRAGGLER_LOSS,
        format!("one straggler costs {:.2} points (< 1)", loss * 100.0),
    );

    let short = deployment.works.iter().map(|work| work.class);

    for class in short.filter(|class| *class != "volume") {
        let name = format!("class {class}");
        let before = product(Scenario::Steady, &name);
        let beside = product(Scenario::Overnight, &name);
        line(
            before - beside <= URGENT_LOSS,
            format!(
                "{class} beside a backlog: {:.1}%, steady {:.1}%",
                beside * 100.0,
                before * 100.0
            ),
        );
    }

    let drafts = product(Scenario::Overnight, "drafts");
    line(
        drafts >= DRAFT_SHARE,
        format!(
            "drafts of the backlog use {:.1}% of the engines (>= 20%)",
            drafts * 100.0
        ),
    );

    let least = |name: &str| figure(Scenario::Steady, Variant::LeastOutstanding, name);
    let attained = product(Scenario::Steady, "attained");
    line(
        attained >= least("attained") - 0.001,
        format!(
            "steady attainment {:.2}%, least outstanding {:.2}%",
            attained * 100.0,
            least("attained") * 100.0
        ),
    );

    for name in [
        "seconds encode",
        "seconds retrieve",
        "seconds rerank",
        "seconds service",
        "seconds generate",
        "tokens generate",
    ] {
        let (own, other) = (product(Scenario::Steady, name), least(name));
        line(
            own <= other * COST_SLACK,
            format!("steady {name}: {own:.4}, least outstanding {other:.4}"),
        );
    }

    for name in ["seconds generate", "tokens generate"] {
        let own = product(Scenario::Steady, name);
        let without = figure(Scenario::Steady, Variant::NoAffinity, name);
        line(
            own < without,
            format!("steady {name}: {own:.3}, without affinity {without:.3}"),
        );
    }
}
