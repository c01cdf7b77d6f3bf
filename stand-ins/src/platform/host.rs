//! Host processes, each on its own loopback addresses.

use {
    crate::daemon::wait,
    serde_json::Value,
    std::{
        fs::{self, File, OpenOptions},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{self, Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        time::Duration,
    },
};

/// Longest time until a host is ready or has exited.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Port of the first listener.
const FIRST_PORT: u16 = 7101;

/// Time for which a watch of the store waits, where a test does not depend on it.
pub const STORE_WAIT: Duration = Duration::from_millis(500);

/// Settings of a host that differ between tests.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Address advertised to peers, if it differs from the listening address.
    pub peer_address: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Further sections, as text.
    pub sections: String,
    pub store: SocketAddr,
    /// Time for which a watch of the store waits.
    pub store_wait: Duration,
}

/// The addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    /// Address that connections from peers are accepted on.
    pub peers: SocketAddr,
    pub ready: SocketAddr,
}

impl Addresses {
    /// Returns addresses that no other host on this machine uses. A free port
    /// of 127.0.0.1 may be taken before the host binds it. An address of
    /// 127.0.0.0/8 derived from the process id and a counter cannot be. Hosts for which
    /// no address is left have other ports of the same addresses.
    pub fn new() -> Self {
        const ADDRESSES: u16 = 254;
        const PORTS: u16 = 5;

        static NEXT: AtomicU16 = AtomicU16::new(0);

        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process::id().to_be_bytes();
        let [_, part] = (number % ADDRESSES + 1).to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, part));
        let first = FIRST_PORT + number / ADDRESSES * PORTS;
        let port = |offset| SocketAddr::new(ip, first + offset);

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

/// A running host process, killed on drop.
#[derive(Debug)]
pub struct Host {
    pub addresses: Addresses,
    child: Child,
    log: PathBuf,
}

impl Host {
    /// Starts a host whose settings and log files are in `folder`. It appends
    /// to the log of an earlier process of the same name.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start(binary: &Path, folder: &Path, settings: &Settings, addresses: Addresses) -> Self {
        Self::start_with(binary, folder, settings, addresses, |text| text)
    }

    /// Starts a host as [`Host::start`] does, with a settings file that `edit` has
    /// changed.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start_with(
        binary: &Path,
        folder: &Path,
        settings: &Settings,
        addresses: Addresses,
        edit: impl FnOnce(String) -> String,
    ) -> Self {
        let path = folder.join(format!("{}.ini", settings.name));
        fs::write(&path, edit(render_settings(settings, &addresses)))
            .expect("the settings can be written");
        let log = path.with_extension("log");
        let output = open_log(&log);
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

    /// Waits until the host accepts requests.
    ///
    /// # Panics
    ///
    /// Panics when the host exits or is not ready in time. If it exits, the
    /// message contains its log.
    pub fn wait_ready(&mut self) {
        wait("readiness of a host", TIMEOUT, || {
            let status = self.child.try_wait().expect("the host can be waited for");
            assert!(status.is_none(), "the host exited: {}", self.log_text());
            self.is_ready().then_some(())
        });
    }

    /// Returns whether the host reports that it accepts requests.
    pub fn is_ready(&self) -> bool {
        super::caller::get(self.addresses.ready, "/readyz")
            .is_some_and(|response| response.status == 200)
    }

    /// Sends a signal to this process only.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be signalled.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        let sent = status.is_ok_and(|status| status.success());
        assert!(sent, "cannot send {name} to the host process {id}");
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be waited for.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the host can be waited for")
    }

    /// Returns the most memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics when the process has exited.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| {
            let kibibytes = line.strip_prefix("VmHWM:")?.strip_suffix("kB")?;
            kibibytes.trim().parse::<u64>().ok()
        });
        peak.expect("the status of a process has its peak memory") * 1024
    }

    /// Waits until the process exits and returns its exit code, or -1 if a
    /// signal ended it.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit in time.
    pub fn wait_exit(&mut self) -> i32 {
        let status = wait("exit of a host", TIMEOUT, || self.exit_status());
        status.code().unwrap_or(-1)
    }

    /// Replaces a text in the settings file. The replacement is atomic: a
    /// concurrent reader gets the old or the new file, never a mixture.
    ///
    /// # Panics
    ///
    /// Panics when the file does not contain the text or cannot be replaced.
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

    /// Returns the text of the log.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the lines of the log whose message starts with `start`.
    ///
    /// # Panics
    ///
    /// Panics when a complete line is not JSON.
    pub fn log_lines(&self, start: &str) -> Vec<Value> {
        let text = self.log_text();
        let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = complete_lines.lines().map(|line| {
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
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn open_log(path: &Path) -> File {
    let file = OpenOptions::new().append(true).create(true).open(path);
    file.expect("the log can be opened")
}

fn render_settings(settings: &Settings, addresses: &Addresses) -> String {
    let Addresses {
        callers,
        directory,
        metrics,
        peers: listened,
        ready,
    } = addresses;
    let Settings {
        name,
        sections,
        store,
        ..
    } = settings;
    let wait = settings.store_wait.as_millis();
    let advertised = settings.peer_address.unwrap_or(*listened);
    let peers = settings.peers.iter().map(SocketAddr::to_string);
    let peers = peers.collect::<Vec<String>>().join(",");

    format!(
        "[host]\nid = {name}\ndomain = z1\ncaller_address = {callers}\n\
        directory_address = {directory}\nmetrics_address = {metrics}\n\
        peer_address = {advertised}\npeer_listen_address = {listened}\nready_address = {ready}\n\
        peers = {peers}\nfleet_key = a key of the test\n\
        [store]\naddress = {store}\nkind = entry-hosts\nwait_ms = {wait}\n\
        [limits]\nconnections = 100\ngrace_s = 8\nkeep_addresses_ms = 1000\nmemory_mb = 160\n\
        [engines]\nroom = true\nspeeds = true\n\
        [retries]\nratio = 0.2\nslack = 52\nwindow_s = 10\n{sections}"
    )
}
