//! A request must be matched to the route of its host with the longest prefix,
//! and to targets in proportion to their weights.

use {
    persimmoncleat::state::serving::config::{Config, Limits, RetryMode, Route, Target},
    std::{collections::HashMap, time::Duration},
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        event_gap: None,
        goal: Duration::from_millis(150),
        host: host.into(),
        max_attempts: 1,
        name: name.into(),
        prefix: prefix.into(),
        priority: 0,
        public: false,
        retry_mode: RetryMode::Never,
        stages: Vec::new(),
        stream: false,
        targets: Vec::new(),
        timeout: Duration::from_secs(1),
    }
}

fn config() -> Config {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let limits = Limits {
        body_bytes: 1,
        header_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    Config::new(1, routes, HashMap::new(), None, limits)
}

macro_rules! finds {
    ($($name:ident: $host:expr, $path:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let config = config();
                let route = config.route($host, $path);
                assert_eq!(route.map(|route| route.name.as_str()), $expected);
            }
        )*
    };
}

finds! {
    longest_prefix_wins: "a.example", "/x/y/z" => Some("long");
    other_paths_match_the_shorter_prefix: "a.example", "/x/z" => Some("short");
    prefix_matches_whole_segments_only: "a.example", "/xy" => None;
    host_selects_the_routes: "b.example", "/x/y/z" => Some("other");
    host_is_case_insensitive: "A.Example", "/x/z" => Some("short");
    port_of_the_host_is_ignored: "a.example:8080", "/x/z" => Some("short");
    unknown_host_has_no_route: "c.example", "/x/z" => None;
}

#[test]
fn targets_are_chosen_in_proportion_to_weight() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    let route = Route {
        targets: vec![target("a", 90.0), target("b", 10.0)],
        ..route("r", "h", "/")
    };
    let first = (0..100).filter(|percent| {
        let target = route.target(f64::from(*percent) / 100.0);
        target.is_some_and(|service| service.as_str() == "a")
    });
    assert_eq!(first.count(), 90);
}
