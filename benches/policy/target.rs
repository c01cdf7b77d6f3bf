//! Checks the figures of a run against fixed targets.

use crate::{deployment::Deployment, scenario::Scenario, table::Series, variant::Variant};
use std::collections::BTreeMap;

/// The figures of every scenario and variant.
pub type Results = BTreeMap<(Scenario, Variant), Series>;

/// Minimum fraction of accepted requests that are answered in time.
const MIN_KEPT: f64 = 0.99;
/// Maximum number of attempts per stage.
const MAX_AMPLIFICATION: f64 = 1.1;
/// Maximum time of recovery from a burst.
const MAX_RECOVERY_S: f64 = 8.0;
/// Upper bound of the attainment that one straggler costs.
const MAX_STRAGGLER_LOSS: f64 = 0.01;
/// Minimum share of the engines that the drafts of a backlog use.
const MIN_DRAFT_SHARE: f64 = 0.20;
/// Maximum loss of attainment of a class beside a backlog of drafts that still
/// counts as no loss.
const MAX_URGENT_LOSS: f64 = 0.01;
/// Factor by which a cost may exceed the one that it is compared with, to allow
/// for rounding.
const COST_TOLERANCE: f64 = 1.01;

/// Prints every target with the measured figure and whether it was met.
pub fn print(deployment: &Deployment, results: &Results) {
    let figure = |scenario, variant, name: &str| results[&(scenario, variant)].median(name);
    let product = |scenario, name: &str| figure(scenario, Variant::Product, name);
    let print_result = |met: bool, text: String| {
        println!("  {} {text}", if met { "met   " } else { "MISSED" });
    };

    println!("targets, {}", deployment.name);

    for scenario in [Scenario::Burst, Scenario::Metastable] {
        let kept = product(scenario, "kept");
        print_result(
            kept >= MIN_KEPT,
            format!(
                "{}: {:.2}% of accepted in time (>= 99%)",
                scenario.name(),
                kept * 100.0
            ),
        );
        let recovery = product(scenario, "recovery");
        print_result(
            recovery <= MAX_RECOVERY_S,
            format!("{}: recovery {recovery:.0} s (<= 8 s)", scenario.name()),
        );
    }

    let (worst, attempts) = Scenario::ALL
        .into_iter()
        .map(|scenario| (scenario, product(scenario, "attempts")))
        .fold((Scenario::Steady, 0.0), |highest, next| {
            if next.1 > highest.1 { next } else { highest }
        });
    print_result(
        attempts <= MAX_AMPLIFICATION,
        format!(
            "retry amplification at most {attempts:.3}, in: {} (<= 1.1)",
            worst.name()
        ),
    );

    let loss = product(Scenario::Steady, "attained") - product(Scenario::Straggler, "attained");
    print_result(
        loss < MAX_STRAGGLER_LOSS,
        format!("one straggler costs {:.2} points (< 1)", loss * 100.0),
    );

    let classes = deployment.request_kinds.iter().map(|kind| kind.class);

    for class in classes.filter(|class| *class != "volume") {
        let name = format!("class {class}");
        let before = product(Scenario::Steady, &name);
        let beside = product(Scenario::Overnight, &name);
        print_result(
            before - beside <= MAX_URGENT_LOSS,
            format!(
                "{class} beside a backlog: {:.1}%, steady {:.1}%",
                beside * 100.0,
                before * 100.0
            ),
        );
    }

    let drafts = product(Scenario::Overnight, "drafts");
    print_result(
        drafts >= MIN_DRAFT_SHARE,
        format!(
            "drafts of the backlog use {:.1}% of the engines (>= 20%)",
            drafts * 100.0
        ),
    );

    let least_outstanding = |name: &str| figure(Scenario::Steady, Variant::LeastOutstanding, name);
    let attained = product(Scenario::Steady, "attained");
    print_result(
        attained >= least_outstanding("attained") - 0.001,
        format!(
            "steady attainment {:.2}%, least outstanding {:.2}%",
            attained * 100.0,
            least_outstanding("attained") * 100.0
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
        let (own, other) = (product(Scenario::Steady, name), least_outstanding(name));
        print_result(
            own <= other * COST_TOLERANCE,
            format!("steady {name}: {own:.4}, least outstanding {other:.4}"),
        );
    }

    for name in ["seconds generate", "tokens generate"] {
        let own = product(Scenario::Steady, name);
        let without = figure(Scenario::Steady, Variant::NoAffinity, name);
        print_result(
            own < without,
            format!("steady {name}: {own:.3}, without affinity {without:.3}"),
        );
    }
}
