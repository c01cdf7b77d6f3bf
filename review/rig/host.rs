//! Processes of the system, started as the deploy file says, each on an address of its
//! own in 127.0.0.0/8.

use crate::{http, record};
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// The process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const FRONT: u16 = 8625;
const READY: u16 = 8621;
const CONTROL: u16 = 8628;
const DIRECTORY: u16 = 8620;
const METRICS: u16 = 9464;

/// One machine and the process on it.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
    program: String,
    settings: PathBuf,
    log: PathBuf,
}

/// What the platform tells a process, beside its own addresses.
pub struct Platform {
    pub store: SocketAddr,
    /// Peer addresses of the first machines.
    pub seeds: Vec<SocketAddr>,
    /// Changes of the rendered settings: what to replace, and by what.
    pub changes: Vec<(String, String)>,
}

/// Returns the address of machine `number` (from 1) of this test run.
pub fn ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, number)
}

impl Host {
    /// Renders the settings from the template of the deploy file, as the platform does.
    pub fn new(folder: &Path, number: u8, platform: &Platform) -> Host {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file is there");
        let value = |key: &str| {
            let mut lines = deploy.lines().filter_map(|line| line.split_once('='));
            let found = lines.find(|(name, _)| name.trim() == key);
            found.map_or(String::new(), |(_, value)| value.trim().trim_matches('"').to_owned())
        };
        let ip = ip(number);
        let name = format!("front-z1-{number}");
        let mut text = fs::read_to_string(value("template")).expect("the template is there");
        let seeds: Vec<String> = platform.seeds.iter().map(SocketAddr::to_string).collect();
        let fields = [
            ("nodeName", name.clone()),
            ("zone", "z1".into()),
            ("limits.cpuShare", "0.25".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("listenAddrs.front", format!("{ip}:{FRONT}")),
            ("listenAddrs.directory", format!("{ip}:{DIRECTORY}")),
            ("listenAddrs.control", format!("{ip}:{CONTROL}")),
            ("listenAddrs.ready", format!("{ip}:{READY}")),
            ("ip", ip.to_string()),
            ("seedNodes", seeds.join(",")),
            ("platform.address", platform.store.to_string()),
            ("bounds.graceS", "8".into()),
            ("bounds.retryRatio", "0.2".into()),
            ("bounds.retrySlack", "56".into()),
            ("bounds.retryWindowS", "10".into()),
        ];
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        for (old, new) in &platform.changes {
            text = text.replace(&old.replace("IP", &ip.to_string()), &new.replace("IP", &ip.to_string()));
        }
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Host { name, ip, child: None, program: value("run"), settings, log }
    }

    /// Starts the process, with no variables of the caller but the usual ones.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().append(true).create(true).open(&self.log);
        let log = log.expect("the log can be opened");
        let mut words = self.program.split(' ');
        let program = words.next().unwrap_or_default();
        let mut command = Command::new(program);
        command.args(words).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PERSIMMONCLEAT_SETTINGS", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("the log can be shared")).stderr(log);
        // SAFETY: prctl is a plain system call, which may follow a fork.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the program starts"));
        record(&format!("{} started", self.name));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child was not waited for yet, so its id is its own.
            unsafe { kill(child.id() as i32, signal) };
            record(&format!("{} gets signal {signal}", self.name));
        }
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record(&format!("{} killed", self.name));
        }
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Returns whether the platform's check gets a 200 within a second.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::send((self.ip, READY).into(), request, Duration::from_secs(1));
        answer.status == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns the processor time that the process has used, in seconds.
    pub fn processor_time(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0
    }

    /// Returns the sum of the metric's lines that contain a text.
    pub fn metric(&self, name: &str, part: &str) -> f64 {
        let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::send((self.ip, METRICS).into(), request, Duration::from_secs(1));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(part));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Returns the lines of the log that contain a text.
    pub fn logged(&self, part: &str) -> Vec<String> {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
