//! What the requests of one host share on the traffic thread.

use {
    crate::{
        coordination::serving::{pools::Pools, retries::Retries},
        protocol::{edge::Edge, serving_file::File},
        state::{
            clock::Time,
            serving::{config::Config, placement::Placement, view::View},
        },
        transport::{boot_clock, http::client::Client, links::Links, tally::Tally},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// The shared state of the traffic thread.
pub struct Host {
    /// Requests in progress.
    pub active: Cell<usize>,
    pub client: Client,
    pub edge: Arc<dyn Edge>,
    pub links: Links,
    pub placement: RefCell<Placement>,
    pub pools: Pools,
    pub retries: Retries,
    pub settings: File,
    pub tally: Tally,
    left: Cell<Option<Time>>,
    next_job: Cell<u64>,
    view: RefCell<Arc<View>>,
}

impl Host {
    /// Builds the shared state.
    pub fn new(
        settings: File,
        edge: Arc<dyn Edge>,
        links: Links,
        view: Arc<View>,
        tally: Tally,
    ) -> Rc<Self> {
        Rc::new(Self {
            active: Cell::new(0),
            client: Client::default(),
            edge,
            left: Cell::new(None),
            links,
            next_job: Cell::new(1),
            placement: RefCell::default(),
            pools: Pools::default(),
            retries: Retries::new(settings.budget),
            settings,
            tally,
            view: RefCell::new(view),
        })
    }

    /// Returns the newest view of the control state.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view.borrow().config.clone()
    }

    /// Returns a number for a job that this process has not used.
    pub fn next_job(&self) -> u64 {
        let number = self.next_job.get();
        self.next_job.set(number + 1);
        number
    }

    /// Notes that the planned stop has begun.
    pub fn leave(&self) {
        if self.left.get().is_none() {
            self.left.set(Some(boot_clock::now()));
        }
    }

    /// Returns the time since the planned stop began.
    pub fn leaving_for(&self) -> Option<Duration> {
        self.left.get().map(|left| boot_clock::now().since(left))
    }
}

/// Takes over every new view until the control thread ends.
pub async fn follow(host: Rc<Host>, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let same = Arc::ptr_eq(&view.roster, &host.view.borrow().roster);

        if !same {
            host.placement.borrow_mut().retain(view.roster.entries());
            host.client
                .sweep(|endpoint| view.roster.get(endpoint).is_some());
        }

        host.view.replace(view);
        host.pools.update(&host);

        if views.changed().await.is_err() {
            return;
        }
    }
}
