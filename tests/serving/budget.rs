//! All hosts together must keep to the fleet's retry budget in every window,
//! without coordination.

use {
    crate::fuzz,
    persimmoncleat::state::{
        clock::Time,
        serving::budget::{Bounds, RetryBudget},
    },
    proptest::prelude::*,
    std::time::Duration,
};

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 52.0,
    window: Duration::from_secs(10),
};

proptest! {
    #![proptest_config(fuzz::config(128))]

    #[test]
    fn fleet_keeps_to_the_budget_in_every_window(
        hosts in 1usize..9,
        steps in prop::collection::vec((0u64..400, 0usize..9, any::<bool>()), 1..600),
    ) {
        let mut budgets = vec![RetryBudget::default(); hosts];
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();

        for (pause, host, retry) in steps {
            now += pause;
            let time = Time::from_millis(now);
            let budget = &mut budgets[host % hosts];

            if !retry {
                budget.record_requests(time, &BOUNDS, 1);
                requests.push(now);
            } else if budget.withdraw(time, &BOUNDS, hosts, 1) {
                retries.push(now);
            }
        }

        let window = 10_000;

        for end in &retries {
            let within = |moment: &&u64| **moment <= *end && **moment + window > *end;
            let used = retries.iter().filter(within).count() as f64;
            // The ratio applies to requests of this and the previous window.
            let before = |moment: &&u64| **moment <= *end && **moment + 2 * window > *end;
            let counted = requests.iter().filter(before).count() as f64;
            let limit = BOUNDS.ratio * counted + BOUNDS.slack;
            prop_assert!(used <= limit, "{used} retries, {limit} allowed");
        }
    }
}

#[test]
fn retries_expire_with_their_window() {
    let mut budget = RetryBudget::default();
    let start = Time::from_millis(0);

    let taken = (0..1000).filter(|_| budget.withdraw(start, &BOUNDS, 1, 1));
    assert!(taken.count() < 1000);
    assert!(!budget.can_withdraw(Time::from_millis(5_000), &BOUNDS, 1, 1));
    assert!(budget.can_withdraw(Time::from_millis(11_000), &BOUNDS, 1, 1));
}

#[test]
fn can_withdraw_uses_up_no_budget() {
    let mut budget = RetryBudget::default();
    let now = Time::from_millis(0);

    for _ in 0..1000 {
        assert!(budget.can_withdraw(now, &BOUNDS, 8, 1));
    }
}
