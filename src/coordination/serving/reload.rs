//! Reloads the settings file, after a signal and periodically.

use {
    crate::{
        coordination::{membership, serving::control::Event},
        protocol::{serving_file::File, serving_reload::Reload},
        transport::json_log,
    },
    flexi_logger::LoggerHandle,
    std::{
        fs,
        path::PathBuf,
        sync::{
            Arc,
            mpsc::{Receiver, RecvTimeoutError, Sender},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A request to read the file at once.
#[derive(Debug)]
pub struct Request;

/// The settings file, and the logger whose level it sets.
pub struct Source {
    pub logger: LoggerHandle,
    pub path: PathBuf,
}

/// Publishes changes of the settings file of a running host.
pub struct Follower {
    control: Sender<Event>,
    published: watch::Sender<Arc<File>>,
    source: Source,
    /// The text of the last read, even if it was invalid.
    text: String,
}

impl Follower {
    /// Creates a follower of the file.
    pub fn new(
        source: Source,
        published: watch::Sender<Arc<File>>,
        control: Sender<Event>,
    ) -> Self {
        Self {
            control,
            published,
            source,
            text: String::new(),
        }
    }

    /// Reads the file for each request and periodically, until the sender of
    /// the requests is dropped.
    pub fn run(mut self, requests: &Receiver<Request>) {
        loop {
            let requested = match requests.recv_timeout(POLL_INTERVAL) {
                Ok(Request) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.read(requested);
        }
    }

    fn read(&mut self, requested: bool) {
        let text = match fs::read_to_string(&self.source.path) {
            Ok(text) => text,
            Err(error) => {
                let path = self.source.path.display();
                log::error!("settings kept: cannot read {path}: {error}");
                return;
            }
        };

        if text == self.text && !requested {
            return;
        }

        match File::parse(&text) {
            Ok(file) => self.apply(file, requested),
            Err(faults) => {
                for fault in faults {
                    log::error!("settings kept: {fault}");
                }
            }
        }

        self.text = text;
    }

    fn apply(&self, file: File, requested: bool) {
        let current = Arc::clone(&self.published.borrow());
        let reload = Reload::new(&current, file);

        if !reload.is_change() {
            if requested {
                log::info!("settings reloaded: no changes");
            }

            return;
        }

        log::info!(
            taken = reload.applied.join(", ").as_str(),
            kept_until_restart = reload.deferred.join(", ").as_str();
            "settings changed"
        );

        if reload.settings.level != current.level {
            json_log::set_level(&self.source.logger, reload.settings.level);
        }

        let own_address = reload.settings.addresses.peers;
        let peers = reload.settings.peers.iter().copied();
        let peers = membership::Event::Listed(peers.filter(|peer| *peer != own_address).collect());
        // Fails only while the process exits.
        drop(self.control.send(Event::Membership(peers)));
        self.published.send_replace(reload.settings);
    }
}
