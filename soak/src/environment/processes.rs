//! Controls the processes of the hosts.

use {
    super::{Environment, ProcessState},
    crate::record::Target,
    stand_ins::{platform::host::Host, server::lock},
    std::time::{Duration, Instant},
};

/// Maximum time of a planned stop: the grace period of the settings plus a
/// margin for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(10);

impl Environment {
    /// Restarts hosts that have completed a planned stop.
    ///
    /// # Errors
    ///
    /// Returns a description if a process exited unasked, exited with an error
    /// when it was stopped, or did not stop in time.
    pub fn supervise(&mut self) -> Result<(), String> {
        for number in 0..self.processes.len() {
            let process = &mut self.processes[number];
            let name = &process.settings.name;
            let Some(host) = &mut process.host else {
                continue;
            };

            match (host.exit_status(), &process.state) {
                (Some(status), ProcessState::Stopping(_)) if status.success() => {
                    lock(&self.record).end_disturbances(Target::Stop(number));
                    self.start_host(number);
                }
                (Some(status), ProcessState::Stopping(_)) => {
                    return Err(format!("{name} exited with {status} when it was stopped"));
                }
                (Some(status), ProcessState::Running | ProcessState::Paused) => {
                    return Err(format!("{name} exited unasked with {status}"));
                }
                (None, ProcessState::Stopping(since)) if since.elapsed() > STOP_LIMIT => {
                    return Err(format!("{name} did not stop within {STOP_LIMIT:?}"));
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
            process.state = ProcessState::Running;
            let mut record = lock(&self.record);
            record.end_disturbances(Target::Host(number));
            record.end_disturbances(Target::Stop(number));
        }
    }

    pub(super) fn kill(&mut self, number: usize) {
        let process = &mut self.processes[number];
        lock(&self.record).begin_disturbance(Target::Host(number));

        if let Some(host) = &mut process.host
            && host.exit_status().is_none()
        {
            host.signal("-KILL");
            host.wait_exit();
        }

        process.state = ProcessState::Down;
    }

    pub(super) fn pause(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (ProcessState::Running, Some(host)) = (&process.state, &mut process.host)
            && host.exit_status().is_none()
        {
            lock(&self.record).begin_disturbance(Target::Host(number));
            host.signal("-STOP");
            process.state = ProcessState::Paused;
        }
    }

    pub(super) fn resume(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (ProcessState::Paused, Some(host)) = (&process.state, &process.host) {
            host.signal("-CONT");
            process.state = ProcessState::Running;
            lock(&self.record).end_disturbances(Target::Host(number));
        }
    }

    pub(super) fn stop(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (ProcessState::Running, Some(host)) = (&process.state, &mut process.host)
            && host.exit_status().is_none()
        {
            lock(&self.record).begin_disturbance(Target::Stop(number));
            host.signal("-TERM");
            process.state = ProcessState::Stopping(Instant::now());
        }
    }

    pub(super) fn reload(&mut self, number: usize) {
        let process = &mut self.processes[number];

        if let (ProcessState::Running, Some(host)) = (&process.state, &mut process.host)
            && host.exit_status().is_none()
        {
            // Alternate between two values, so that every reload is a change.
            let (old, new) = ("slack = 52\n", "slack = 50\n");
            let changed = host.settings_text().contains(new);
            let (old, new) = if changed { (new, old) } else { (old, new) };
            host.edit_settings(old, new);
            host.signal("-HUP");
        }
    }
}
