//! The explanation of a request must name where it would go and what would refuse it,
//! and must agree with what the host does.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            balance::Part,
            config::{Config, Limits, RetryMode, Route, Stage, Target, Team},
            explain::{Answer, Question, Situation, explain},
            placement::{Criteria, Placement},
            quarantine::Quarantine,
            roster::{Entry, Roster},
        },
    },
    std::{collections::HashMap, time::Duration},
};

const NOW: Time = Time::from_millis(10_000);

/// What the host of a test knows. Its route `chat` has a stage and goes to `engine`.
struct Fixture {
    config: Option<Config>,
    placement: Placement,
    quarantine: Quarantine,
    roster: Roster,
}

impl Fixture {
    fn new() -> Self {
        let route = Route {
            event_gap: None,
            goal: Duration::from_secs(1),
            host: "h.example".into(),
            max_attempts: 2,
            name: "chat".into(),
            prefix: "/chat/".into(),
            priority: 4,
            public: false,
            retry_mode: RetryMode::Resume,
            stages: vec![Stage {
                after: Vec::new(),
                output_bytes: 1,
                service: "stage".into(),
            }],
            stream: true,
            targets: vec![Target {
                service: "engine".into(),
                weight: 2.0,
            }],
            timeout: Duration::from_secs(5),
        };
        let limits = Limits {
            body_bytes: 1,
            header_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        };
        let team = Team {
            name: "almanac".into(),
            priority: Some(1),
        };
        let keys = HashMap::from([("a secret".to_owned(), team)]);
        let entries = [("e1", "engine"), ("e2", "engine"), ("s1", "stage")];
        Self {
            config: Some(Config::new(
                3,
                vec![route],
                HashMap::new(),
                Some(keys),
                limits,
            )),
            placement: Placement::default(),
            quarantine: Quarantine::default(),
            roster: Roster::new(entries.map(|(name, service)| entry(name, service))),
        }
    }

    fn ask(&self, question: &Question) -> Answer {
        let situation = Situation {
            backlog: &|_| Some(Duration::from_millis(40)),
            config: self.config.as_ref(),
            dispatchers: &|service| vec![format!("dispatcher of {}", service.as_str())],
            domain: &id::Domain::from("a"),
            leaving: false,
            placement: &self.placement,
            quarantine: &self.quarantine,
            roster: &self.roster,
        };
        explain(NOW, question, &situation)
    }
}

fn entry(name: &str, service: &str) -> Entry {
    Entry {
        cold: Default::default(),
        address: ([127, 0, 0, 1], 1000).into(),
        domain: "a".into(),
        endpoint: name.into(),
        incarnation: 1,
        leaving: false,
        service: service.into(),
        slots: 6,
    }
}

fn question() -> Question {
    Question {
        host: "h.example".into(),
        parts: [11, 12]
            .map(|id| Part {
                id,
                prefix: id,
                tokens: 100,
            })
            .into(),
        path: "/chat/1".into(),
        team: Some("almanac".into()),
    }
}

#[test]
fn request_that_would_be_served_names_its_way() {
    let fixture = Fixture::new();
    let answer = fixture.ask(&question());
    assert_eq!(answer.refusals, [""; 0]);
    assert_eq!(answer.route.as_deref(), Some("chat"));
    assert_eq!(answer.priority, Some(1));
    assert_eq!(answer.services, [("engine".to_owned(), 1.0)]);
    assert_eq!(answer.balancers, ["dispatcher of engine"]);
    let stage = &answer.stages[0];
    assert_eq!(stage.dispatchers, ["dispatcher of stage"]);
    assert_eq!((stage.endpoints, stage.backlog_ms), (1, Some(40)));
}

/// Guards against an explanation that differs from the host's choice.
#[test]
fn next_candidate_is_the_one_that_placement_chooses() {
    let mut fixture = Fixture::new();

    for busy in 0..6 {
        let answer = fixture.ask(&question());
        let next = answer.candidates.iter().filter(|candidate| candidate.next);
        let next = next.map(|candidate| candidate.endpoint.as_str());
        let criteria = Criteria {
            domain: None,
            exclude: &[],
            session: Some(11),
        };
        let service = id::Pool::from("engine");
        let open = fixture.roster.open(&service);
        let chosen = fixture
            .placement
            .choose(NOW, open, criteria)
            .unwrap()
            .clone();
        assert_eq!(
            next.collect::<Vec<_>>(),
            [chosen.endpoint.as_str()],
            "{busy}"
        );
        fixture.placement.begin(NOW, &chosen);
    }
}

#[test]
fn estimates_have_their_age() {
    let mut fixture = Fixture::new();
    let used = entry("e1", "engine");
    fixture.placement.begin(Time::from_millis(9_700), &used);
    fixture.placement.health_mut(&used).record_success(3.0);
    let answer = fixture.ask(&question());
    let [first, second] = &answer.candidates[..] else {
        panic!("{answer:?}");
    };
    assert_eq!((first.age_ms, first.running), (Some(300), 1));
    assert!(first.latency_ratio > 1.5);
    assert_eq!((second.age_ms, second.running), (None, 0));
}

/// Guards against keys in the answer, which anyone in the operators' network can read.
#[test]
fn answer_holds_no_key() {
    let fixture = Fixture::new();
    let text = serde_json::to_string(&fixture.ask(&question())).unwrap();
    assert!(!text.contains("a secret"), "{text}");
}

macro_rules! refused {
    ($($name:ident: $change:expr, $ask:expr => $refusals:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fixture = Fixture::new();
                let mut question = question();
                let change: fn(&mut Fixture) = $change;
                let ask: fn(&mut Question) = $ask;
                change(&mut fixture);
                ask(&mut question);
                assert_eq!(fixture.ask(&question).refusals, $refusals);
            }
        )*
    };
}

refused! {
    request_without_a_configuration_is_refused:
        |fixture| fixture.config = None, |_| {} => ["no_configuration"];
    request_without_a_route_is_refused:
        |_| {}, |question| question.path = "/other".into() => ["no_route"];
    request_of_an_unknown_team_is_refused:
        |_| {}, |question| question.team = Some("other".into()) => ["unknown_key"];
    request_with_a_quarantined_part_is_refused:
        |fixture| { fixture.quarantine.add(NOW, 11); }, |_| {} => ["prompt_part_quarantined"];
    last_part_of_a_prompt_is_not_quarantined:
        |fixture| { fixture.quarantine.add(NOW, 12); }, |_| {} => [""; 0];
    request_whose_service_has_no_endpoint_is_refused:
        |fixture| fixture.roster = Roster::new([entry("s1", "stage")]), |_| {} => ["no_endpoint"];
    request_whose_stage_has_no_endpoint_is_refused:
        |fixture| fixture.roster = Roster::new([entry("e1", "engine")]), |_| {} => ["stage_failed"];
    request_whose_endpoints_are_deferred_is_refused:
        |fixture| for name in ["e1", "e2"] {
            let entry = entry(name, "engine");
            fixture.placement.health_mut(&entry).defer(NOW, Duration::from_secs(2));
        },
        |_| {} => ["endpoints_deferred"];
}
