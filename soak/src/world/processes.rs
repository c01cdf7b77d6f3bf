//! Starts, stops, pauses and kills the hosts.

use {
    super::{Life, World},
    crate::record::Target,
    stand_ins::{platform::host::Host, server::lock},
    std::time::{Duration, Instant},
};

/// Longest time of a planned stop: the grace of the settings, and what a busy
/// machine adds.
const STOP_LIMIT: Duration = Duration::from_secs(10);

impl World {
    /// Starts hosts again that have stopped as they were asked to.
    ///
    /// # Errors
    ///
    /// Returns what is wrong when a process ended by itself, failed to stop,
    /// or took too long.
    pub fn watch(&mut self) -> Result<(), String> {
        for number in 0..self.processes.len() {
            let process = &mut self.processes[number];
            let name = &process.settings.name;
            let Some(host) = &mut process.host else {
                continue;
            };

            match (host.exit_status(), &process.life) {
                (Some(status), Life::Stopping(_)) if status.success() => {
                    lock(&self.record).calm(Target::Stop(number));
                    self.start_host(number);
                }
                (Some(status), Life::Stopping(_)) => {
                    return Err(format!("{name} ended with {status} when it was stopped"));
                }
                (Some(status), Life::Running | Life::Paused) => {
                    return Err(format!("{name} ended by itself with {status}"));
                }
                (None, Life::Stopping(since)) if since.elapsed() > STOP_LIMIT => {
                    return Err(format!("{name} did not stop in {STOP_LIMIT:?}"));
                }
                _ => {}
            }
        }

        Ok(())
    }

    pub(super) fn start_host(&mut self, number: usize) {
        let process = &mut self.processes[number];
        let ended = process
            .host
            .as_mut()
            .is_none_or(|host| host.exit_status().is_some());

        if ended {
            process.host = Some(Host::start(
                &self.binary,
                &self.folder,
                &process.settings,
                process.addresses,
            ));
            process.life = Life::Running;
            let mut record = lock(&self.record);
            record.calm(Target::Host(number));
            record.calm(Target::Stop(number));
        }
    }

    pub(super) fn kill(&mut self, number: usize) {
        let process = &mut self.processes[number];
        lock(&self.record).disturb(Target::Host(number));

        if let Some(host) = &mut process.host
            && host.exit_status().is_none()
        {
            host.signal("-KILL");
            host.wait_exit();
        }

        process.life = Life::Down;
    }

    pub(super) fn pause(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (Life::Running, Some(host)) = (&process.life, &mut process.host)
            && host.exit_status().is_none()
        {
            lock(&self.record).disturb(Target::Host(number));
            host.signal("-STOP");
            process.life = Life::Paused;
        }
    }

    pub(super) fn resume(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (Life::Paused, Some(host)) = (&process.life, &process.host) {
            host.signal("-CONT");
            process.life = Life::Running;
            lock(&self.record).calm(Target::Host(number));
        }
    }

    pub(super) fn stop(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (Life::Running, Some(host)) = (&process.life, &mut process.host)
            && host.exit_status().is_none()
        {
            lock(&self.record).disturb(Target::Stop(number));
            host.signal("-TERM");
            process.life = Life::Stopping(Instant::now());
        }
    }

    pub(super) fn reload(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (Life::Running, Some(host)) = (&process.life, &mut process.host)
            && host.exit_status().is_none()
        {
            // The texts take turns, so that every reload finds a change.
            let (old, new) = ("slack = 52\n", "slack = 50\n");
            let changed = host.settings_text().contains(new);
            let (old, new) = if changed { (new, old) } else { (old, new) };
            host.edit_settings(old, new);
            host.signal("-HUP");
        }
    }
}
