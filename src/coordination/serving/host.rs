//! The state that all requests share on the traffic thread.

use {
    crate::{
        coordination::serving::{
            auxiliary::DirectoryLog,
            backlogs::Backlogs,
            balancing::Balancing,
            control::Event,
            crashes::Crashes,
            dispatch,
            loads::{self, Loads},
            pools::Pools,
            retries::Retries,
        },
        protocol::{
            adapter::{Answer, Codec},
            serving_file::File,
        },
        state::{
            clock::Time,
            serving::{
                config::{Config, Limits},
                health::Notice,
                piece::{JobId, Numbers},
                placement::Placement,
                roster::Entry,
                stop::Stop,
                view::View,
            },
        },
        transport::{
            boot_clock,
            http::{callers::Callers, client::Client, memory::Memory, timing::Bounds},
            links::Links,
            machine,
            tally::Tally,
        },
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::{Arc, mpsc::Sender},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Bounds of callers' connections until the first configuration arrives.
const INITIAL_BOUNDS: Bounds = Bounds {
    header_bytes: 64 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(30),
};

/// The shared state of the traffic thread.
pub struct Host {
    pub backlogs: Backlogs,
    pub balancing: Balancing,
    pub caller_bounds: Rc<Cell<Bounds>>,
    pub callers: Callers,
    pub client: Client,
    pub codec: Arc<dyn Codec>,
    /// Sends events to the control thread.
    pub control: Sender<Event>,
    pub crashes: Crashes,
    pub directory_log: DirectoryLog,
    pub dispatch_orders: dispatch::Orders,
    pub links: Links,
    pub loads: Loads,
    /// Memory for the bodies of requests and responses.
    pub memory: Memory,
    pub placement: RefCell<Placement>,
    pub pools: Pools,
    pub retries: Retries,
    pub tally: Tally,
    leaving_since: watch::Sender<Option<Time>>,
    job_numbers: Numbers,
    settings: RefCell<Arc<File>>,
    view: RefCell<Arc<View>>,
}

impl Host {
    /// Creates the shared state.
    pub fn new(
        settings: Arc<File>,
        codec: Arc<dyn Codec>,
        control: Sender<Event>,
        links: Links,
        view: Arc<View>,
        tally: Tally,
    ) -> Rc<Self> {
        let memory = body_memory(&settings);
        log::info!(bytes = memory; "memory for bodies");
        let memory = Memory::new(memory);
        Rc::new(Self {
            backlogs: Backlogs::default(),
            balancing: Balancing::default(),
            caller_bounds: Rc::new(Cell::new(INITIAL_BOUNDS)),
            callers: Callers::default(),
            client: Client::new(memory.clone()),
            codec,
            control,
            crashes: Crashes::default(),
            directory_log: DirectoryLog::default(),
            dispatch_orders: dispatch::Orders::default(),
            leaving_since: watch::Sender::new(None),
            links,
            loads: Loads::default(),
            memory,
            job_numbers: Numbers::starting_at(rand::random()),
            placement: RefCell::default(),
            pools: Pools::default(),
            retries: Retries::default(),
            settings: RefCell::new(settings),
            tally,
            view: RefCell::new(view),
        })
    }

    /// Takes note of what an endpoint says of itself in the answer to a request that
    /// was sent at `sent`: that it is leaving, wants no requests from this host for a
    /// time, or takes only a number of them a second.
    pub fn note_answer(&self, entry: &Entry, answer: &Answer, sent: Time) {
        // The answer of a replaced endpoint is another one's.
        if answer.replaced {
            return;
        }

        if answer.leaving {
            self.note_departure(entry);
        }

        self.note_contact(entry);

        self.note_limit(entry, answer.limit, sent);
        loads::note(self, entry, answer);

        if let Some(time) = answer.retry_after {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                ms = time.as_millis();
                "endpoint deferred: it wants no requests from this host"
            );
            let now = boot_clock::now();
            self.placement
                .borrow_mut()
                .health_mut(entry)
                .defer(now, time);
            self.pools.defer(now, entry, time);
        }
    }

    /// Takes note that an endpoint can be reached. One that could not be reached before
    /// may have just started.
    fn note_contact(&self, entry: &Entry) {
        let now = boot_clock::now();
        let turned_cold = self.placement.borrow_mut().record_answer(now, entry);

        if let Some(limit) = entry.cold.limit.filter(|_| turned_cold) {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                cause = "reached",
                ms = limit.start.time.as_millis();
                "endpoint cold"
            );
        }
    }

    fn note_limit(&self, entry: &Entry, rate: Option<f64>, sent: Time) {
        let now = boot_clock::now();
        let hosts = self.view().hosts();
        let notice = Notice { hosts, rate, sent };
        self.pools.record_notice(now, entry, notice);
        let changed = self
            .placement
            .borrow_mut()
            .record_notice(now, entry, notice);

        if changed {
            log::info!(
                endpoint = entry.endpoint.as_str(),
                service = entry.service.as_str(),
                per_second = rate,
                hosts = hosts;
                "endpoint limit changed"
            );
        }
    }

    fn note_departure(&self, entry: &Entry) {
        let view = self.view();
        let listed = view.roster.get(&entry.endpoint);
        let open = |listed: &Arc<Entry>| listed.incarnation == entry.incarnation && !listed.leaving;

        if listed.is_none_or(open) {
            let event = Event::EndpointLeaving {
                endpoint: entry.endpoint.clone(),
                incarnation: entry.incarnation,
            };
            // Fails only after the control thread has stopped.
            drop(self.control.send(event));
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<File> {
        Arc::clone(&self.settings.borrow())
    }

    /// Returns the latest view that the control thread has published.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view.borrow().config.clone()
    }

    /// Returns the id of a new job or prompt.
    pub fn next_job(&self) -> JobId {
        JobId {
            home: self.settings().host.clone(),
            number: self.job_numbers.next(),
        }
    }

    /// Records the start of the planned stop; later calls change nothing.
    pub fn leave(&self) {
        self.leaving_since.send_if_modified(|since| {
            let is_first = since.is_none();
            since.get_or_insert_with(boot_clock::now);
            is_first
        });
    }

    /// Returns how far the planned stop is, or `None` before it.
    pub fn stop(&self) -> Option<Stop> {
        let since = (*self.leaving_since.borrow())?;
        Some(Stop::new(
            boot_clock::now().since(since),
            self.settings().grace,
        ))
    }

    /// Waits until the planned stop has begun, and returns how far it is.
    pub async fn wait_for_stop(&self) -> Stop {
        let mut leaving_since = self.leaving_since.subscribe();

        loop {
            if let Some(stop) = self.stop() {
                return stop;
            }

            if leaving_since.changed().await.is_err() {
                // The host, which has the sender, is gone.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Applies every change of the settings until their sender is dropped.
pub async fn follow_settings(host: Rc<Host>, mut settings: watch::Receiver<Arc<File>>) {
    while settings.changed().await.is_ok() {
        let newest = Arc::clone(&settings.borrow_and_update());
        host.memory.set_limit(body_memory(&newest));
        host.settings.replace(newest);
        loads::follow_settings(&host);
        host.pools.update(&host);
        host.balancing.update(&host);
    }
}

/// Applies every new view until the control thread ends.
pub async fn follow_views(host: Rc<Host>, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let same = Arc::ptr_eq(&view.roster, &host.view.borrow().roster);

        if !same {
            host.placement
                .borrow_mut()
                .retain(boot_clock::now(), view.roster.entries());
            host.client
                .sweep(|endpoint| view.roster.get(endpoint).is_some());
            host.loads.retain(&view.roster);
        }

        host.placement.borrow_mut().set_fleet(view.cold_fleet());

        if let Some(config) = &view.config {
            host.caller_bounds.set(bounds(&config.limits));
        }

        host.view.replace(view);
        host.dispatch_orders.clear();
        host.pools.update(&host);
        host.balancing.update(&host);

        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the memory for the bodies of requests and responses, in bytes. The rest is
/// for the buffers of connections, the configuration and the endpoints.
fn body_memory(settings: &File) -> usize {
    settings.memory.unwrap_or_else(machine::memory) / 2
}

fn bounds(limits: &Limits) -> Bounds {
    Bounds {
        header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}
