//! A daemon process under test.

use {
    crate::caller::Caller,
    serde_json::Value,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// How long a process may take to start or to stop.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const STEP: Duration = Duration::from_millis(10);

/// Log lines of a process that are printed when a test fails.
const PRINTED_LINES: usize = 25;

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics when there is none within `limit`.
pub fn wait<T>(what: &str, limit: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + limit;

    loop {
        if let Some(value) = condition() {
            return value;
        }

        assert!(
            Instant::now() < end,
            "{what} did not happen within {limit:?}"
        );
        thread::sleep(STEP);
    }
}

/// Checks again and again, for as long as `period`, that a condition holds.
///
/// # Panics
///
/// Panics as soon as it does not.
pub fn assert_holds(what: &str, period: Duration, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + period;

    while Instant::now() < end {
        assert!(condition(), "{what} no longer holds");
        thread::sleep(STEP);
    }
}

/// What a daemon is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    Continue,
    Kill,
    Stop,
    Terminate,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Continue => "-CONT",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Terminate => "-TERM",
        }
    }
}

/// A running daemon; it is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    caller_address: SocketAddr,
    child: Child,
    log: PathBuf,
    pub name: String,
    peer_address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with a settings file and waits until it listens.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
    pub fn start(binary: &Path, config: &Path, name: &str) -> Self {
        let log = config.with_extension("log");
        let file = File::create(&log).expect("log file");
        let mut child = Command::new(binary)
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("log file"))
            .stderr(file)
            .spawn()
            .expect("daemon starts");

        let listening = wait(&format!("{name} listening"), LIMIT, || {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let exited = child.try_wait().expect("child can be waited for");
            assert!(exited.is_none(), "{name} ended with {exited:?}: {text}");
            text.lines()
                .filter_map(|line| serde_json::from_str::<Value>(line).ok())
                .find(|line| line["message"] == "listening")
        });

        let address = |key: &str| {
            let text = listening[key].as_str().expect("an address");
            text.parse().expect("an address")
        };

        Self {
            caller_address: address("caller_address"),
            child,
            log,
            name: name.into(),
            peer_address: address("peer_address"),
        }
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns a caller without a key.
    pub fn caller(&self) -> Caller {
        Caller::new(self.caller_address)
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be signalled.
    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill")
            .arg(signal.name())
            .arg(self.child.id().to_string())
            .status()
            .expect("kill runs");
        assert!(status.success(), "{} got no {signal:?}", self.name);
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics when it does not end within `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> ExitStatus {
        let what = format!("end of {}", self.name);
        let child = &mut self.child;
        wait(&what, limit, || {
            child.try_wait().expect("child can be waited for")
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();

        if thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let tail = lines.len().saturating_sub(PRINTED_LINES);
            eprintln!("log of {}:\n{}", self.name, lines[tail..].join("\n"));
        }
    }
}
