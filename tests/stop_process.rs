//! Process tests of the planned stop: a host that stops completes its requests in
//! progress and refuses new ones.

use {
    serde_json::json,
    stand_ins::{
        daemon::{Signal, wait},
        faults::FaultSwitches,
        fleet::{ALMANAC, Fleet},
        object_api,
        outcome::Outcome,
        synthetic,
    },
    std::{
        fs::{self, File},
        io::Write,
        process::{Command, Stdio},
        thread,
        time::Duration,
    },
};

const LIMIT: Duration = Duration::from_secs(30);

/// Tokens of a stream; they take at least 2 s.
const STREAM_TOKENS: u32 = 1000;

const ORDERS: usize = 3;
const QUEUED: usize = 30;
const STREAMS: usize = 6;

/// Outcome that a caller got and the output that was expected.
type OutcomeAndExpected = (Outcome, String);

/// Starts streams, orders and more requests than the endpoints process at a time,
/// all through one host, and returns their callers.
fn start_load<'scope, 'env>(
    scope: &'scope thread::Scope<'scope, 'env>,
    fleet: &'env Fleet,
    host: &str,
) -> Vec<thread::ScopedJoinHandle<'scope, OutcomeAndExpected>> {
    let caller = fleet.team(fleet.host_named(host));
    let mut callers = Vec::new();

    for number in 0..STREAMS {
        let (caller, prompt) = (caller.clone(), format!("{host}-stream-{number} letter"));
        callers.push(scope.spawn(move || {
            let body = json!({ "prompt": prompt, "max_tokens": STREAM_TOKENS }).to_string();
            let path = "/v1/pipelines/note/requests?stream=true";
            let outcome = Outcome::streamed(&caller.send("POST", path, &body));
            (outcome, synthetic::output("draft", &prompt, STREAM_TOKENS))
        }));
    }

    for number in 0..ORDERS {
        let prompt = format!("{host}-order-{number} issue");
        let body = json!({ "prompt": prompt, "max_tokens": 8 }).to_string();
        let (home, _) = caller.ticket("publish", &body, 15_000).expect("a ticket");
        callers.push(scope.spawn(move || {
            let outcome = Outcome::buffered(&home.post("publish", &body));
            (outcome, synthetic::output("publish", &prompt, 8))
        }));
    }

    for number in 0..QUEUED {
        let (caller, prompt) = (caller.clone(), format!("{host}-queued-{number} volume"));
        callers.push(scope.spawn(move || {
            let body = json!({ "prompt": prompt, "max_tokens": 30 }).to_string();
            let outcome = Outcome::buffered(&caller.post("almanac", &body));
            (outcome, synthetic::pipeline(&ALMANAC, &prompt, 30))
        }));
    }

    callers
}

/// Starts three hosts, stops `hosts` while all their requests are in progress and
/// checks that each request is answered.
fn assert_stop_completes_requests(hosts: &[&str], outage: bool) {
    let mut fleet = Fleet::start(env!("CARGO_BIN_EXE_persimmoncleatd"), 3);
    fleet.set_faults(
        "publish",
        &FaultSwitches {
            slow_ms: Some(2500),
            ..FaultSwitches::default()
        },
    );
    fleet.set_faults(
        "encode",
        &FaultSwitches {
            slow_ms: Some(1000),
            ..FaultSwitches::default()
        },
    );

    thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> = hosts
            .iter()
            .flat_map(|host| start_load(scope, fleet, host))
            .collect();

        for host in hosts {
            wait("requests in progress", LIMIT, || {
                let outstanding = fleet.status(fleet.host_named(host))["outstanding"].as_u64();
                (outstanding == Some((STREAMS + ORDERS + QUEUED) as u64)).then_some(())
            });
        }

        if outage {
            let outage = object_api::Faults {
                outage: Some(true),
                ..Default::default()
            };
            fleet.objects.set(outage);
        }

        for host in hosts {
            fleet.host_named(host).signal(Signal::Terminate);
        }

        for host in hosts {
            wait_for_refusal(fleet, host);
        }

        for caller in callers {
            let (outcome, expected) = caller.join().expect("a caller");
            assert_eq!(outcome, Outcome::Answered(expected));
        }
    });

    for host in fleet
        .hosts
        .iter_mut()
        .filter(|host| hosts.contains(&host.name.as_str()))
    {
        assert_eq!(host.wait_exit(LIMIT).code(), Some(0));
    }
}

/// Waits until a new request is refused with the address of another host, or finds
/// the host stopped.
fn wait_for_refusal(fleet: &Fleet, host: &str) {
    let caller = fleet.team(fleet.host_named(host));
    let body = r#"{"prompt":"late request","max_tokens":4}"#;

    wait("refusal of new work", LIMIT, || {
        match caller.post("note", body) {
            Ok(answer) if answer.status == 200 => None,
            Ok(answer) => {
                let problem = answer.json();
                assert_eq!(problem["outcome"], "not_run", "{problem}");
                assert_eq!(problem["reason"], "leaving", "{problem}");
                assert!(problem["entrypoint"].is_string(), "{problem}");
                Some(())
            }
            Err(_) => Some(()),
        }
    });
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $hosts:expr, outage $outage:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_stop_completes_requests(&$hosts, $outage);
            }
        )*
    };
}

cases! {
    /// Guards against streams, orders and queued requests that a stop cuts off.
    stopping_host_completes_its_requests: ["h1"], outage false;
    /// Guards against two leaving hosts that send callers to each other.
    two_stopping_hosts_complete_their_requests: ["h1", "h2"], outage false;
    /// Guards against a stop that waits for the object API, or that fails because it
    /// is unavailable.
    host_stopping_during_an_outage_completes_its_requests: ["h1"], outage true;
}

/// Guards against a SIGTERM that ends the process without a planned stop because it
/// arrives while the host starts. The settings file is a pipe, so the host waits
/// for its settings when the signal arrives.
#[test]
fn host_that_is_stopped_before_it_has_read_its_settings_stops_as_planned() {
    let fleet = Fleet::without_hosts(env!("CARGO_BIN_EXE_persimmoncleatd"));
    let config = fleet.write_config("h1", "d1", ([127, 0, 0, 1], 1).into());
    let settings = fs::read(&config).expect("the settings");
    let pipe = config.with_extension("pipe");
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|status| status.success()), "no pipe");
    let mut host = Command::new(env!("CARGO_BIN_EXE_persimmoncleatd"))
        .arg("--config")
        .arg(&pipe)
        .stdout(Stdio::null())
        .spawn()
        .expect("the host starts");
    // Opens only once the host opens the pipe, too.
    let mut writer = File::options().write(true).open(&pipe).expect("the pipe");
    let killed = Command::new("kill").arg(host.id().to_string()).status();
    assert!(killed.is_ok_and(|status| status.success()), "no signal");
    writer.write_all(&settings).expect("the settings are sent");
    drop(writer);
    let status = wait("exit of the host", LIMIT, || {
        host.try_wait().expect("the host can be waited for")
    });
    assert!(status.success(), "{status}");
}
