//! A host of the product as a process, on loopback addresses of its own.

use {
    crate::daemon::wait,
    serde_json::Value,
    std::{
        fs::{self, File, OpenOptions},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{self, Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
};

/// Longest time for a start or an end.
const LIMIT: Duration = Duration::from_secs(20);

/// Port of the first listener.
const FIRST_PORT: u16 = 7101;

/// Where a host is started and what it is told.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Address that peers are told, if it is not the one listened on.
    pub peer_address: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub store: SocketAddr,
}

/// The addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    /// Where connections of peers arrive.
    pub peers: SocketAddr,
    pub ready: SocketAddr,
}

impl Addresses {
    /// Returns addresses that no other host on this machine has. A port of
    /// 127.0.0.1 that was free may be taken before the host binds it; an
    /// address of 127.0.0.0/8 chosen by process and number is not.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(1);

        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process::id().to_be_bytes();
        let [.., part] = number.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, part.max(1)));
        let port = |offset| SocketAddr::new(ip, FIRST_PORT + offset);

        Self {
            callers: port(0),
            directory: port(1),
            metrics: port(2),
            peers: port(3),
            ready: port(4),
        }
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}

/// A running host; it is killed when dropped.
#[derive(Debug)]
pub struct Host {
    pub addresses: Addresses,
    child: Child,
    log: PathBuf,
}

impl Host {
    /// Starts a host whose settings and log stand in `folder`. The log of an
    /// earlier process of the same name is continued.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start(binary: &Path, folder: &Path, settings: &Settings, addresses: Addresses) -> Self {
        let path = folder.join(format!("{}.ini", settings.name));
        fs::write(&path, text(settings, &addresses)).expect("the settings can be written");
        let log = path.with_extension("log");
        let output = append(&log);
        let child = Command::new(binary)
            .env("PERSIMMONCLEAT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log can be opened"))
            .stderr(output)
            .spawn()
            .expect("the host starts");

        Self {
            addresses,
            child,
            log,
        }
    }

    /// Waits until the host takes requests.
    ///
    /// # Panics
    ///
    /// Panics when it ends or is not ready in time; the message has its log.
    pub fn wait_ready(&mut self) {
        wait("a host that is ready", LIMIT, || {
            let status = self.child.try_wait().expect("the host can be waited for");
            assert!(status.is_none(), "the host ended: {}", self.log_text());
            self.is_ready().then_some(())
        });
    }

    /// Returns whether the host says that it takes requests.
    pub fn is_ready(&self) -> bool {
        super::caller::get(self.addresses.ready, "/readyz")
            .is_some_and(|answer| answer.status == 200)
    }

    /// Sends a signal to this process alone.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be signalled.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        let sent = status.is_ok_and(|status| status.success());
        assert!(sent, "no {name} for the host {id}");
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be waited for.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the host can be waited for")
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics when it does not end in time.
    pub fn wait_exit(&mut self) -> i32 {
        let status = wait("the end of a host", LIMIT, || self.exit_status());
        status.code().unwrap_or(-1)
    }

    /// Replaces a text in the settings file, which is read while it is
    /// written at worst as it was or as it is.
    ///
    /// # Panics
    ///
    /// Panics when the file does not have the text.
    pub fn edit_settings(&self, old: &str, new: &str) {
        let path = self.log.with_extension("ini");
        let text = fs::read_to_string(&path).expect("the settings can be read");
        assert!(text.contains(old), "{text}");
        let draft = path.with_extension("draft");
        fs::write(&draft, text.replace(old, new)).expect("the settings can be written");
        fs::rename(draft, path).expect("the settings can be replaced");
    }

    /// Returns the text of the settings file.
    pub fn settings_text(&self) -> String {
        fs::read_to_string(self.log.with_extension("ini")).unwrap_or_default()
    }

    /// Returns the path of the log.
    pub fn log_path(&self) -> &Path {
        &self.log
    }

    /// Returns the log.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the lines of the log whose message starts like this.
    ///
    /// # Panics
    ///
    /// Panics when a whole line is not a JSON object.
    pub fn log_lines(&self, start: &str) -> Vec<Value> {
        let text = self.log_text();
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = whole.lines().map(|line| {
            serde_json::from_str::<Value>(line).unwrap_or_else(|error| panic!("{line:?}: {error}"))
        });
        lines
            .filter(|line| {
                let message = line["message"].as_str();
                message.is_some_and(|message| message.starts_with(start))
            })
            .collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn append(path: &Path) -> File {
    let file = OpenOptions::new().append(true).create(true).open(path);
    file.expect("the log can be opened")
}

fn text(settings: &Settings, addresses: &Addresses) -> String {
    let Addresses {
        callers,
        directory,
        metrics,
        peers: listened,
        ready,
    } = addresses;
    let Settings { name, store, .. } = settings;
    let told = settings.peer_address.unwrap_or(*listened);
    let peers = settings.peers.iter().map(SocketAddr::to_string);
    let peers = peers.collect::<Vec<String>>().join(",");

    format!(
        "[host]\nid = {name}\ndomain = z1\ncaller_address = {callers}\n\
        directory_address = {directory}\nmetrics_address = {metrics}\n\
        peer_address = {told}\npeer_listen_address = {listened}\nready_address = {ready}\n\
        peers = {peers}\nfleet_key = a key of the test\n\
        [store]\naddress = {store}\nkind = entry-hosts\nwait_ms = 500\n\
        [limits]\nconnections = 100\ngrace_s = 8\nkeep_addresses_ms = 1000\n\
        [retries]\nratio = 0.2\nslack = 52\nwindow_s = 10\n"
    )
}
