//! Finds the engine of a prompt: asks the host that balances the service's
//! engines for the whole fleet, and chooses one from this host's own
//! observations if that host does not answer.

mod guard;
mod room;

pub use guard::PlacementGuard;

use {
    crate::{
        coordination::serving::{
            answer::Reason, control::Event, dispatch, host::Host, relay::why_none_is_left,
            request::Request,
        },
        state::{
            clock::Time,
            id,
            serving::{
                balance::{Answer, Balancer, Choice, Finding, Limits, Prompt, Report},
                piece::JobId,
                placement::Criteria,
                quarantine::{self, Status},
                roster::Entry,
            },
        },
        transport::boot_clock,
    },
    std::{
        cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
    },
    tokio::time::sleep,
};

/// Time limit of a question to the balancing host. A prompt that waits longer
/// loses more than a balanced engine gains.
const PLACE_TIMEOUT: Duration = Duration::from_millis(80);

/// Number of hosts that are asked for one prompt.
const MAX_BALANCERS: usize = 2;

/// Time for which a balancing host is not asked after it has not answered.
const SILENCE_PAUSE: Duration = Duration::from_millis(600);

/// Bounds of the time after which a waiting prompt is asked for again, whatever the
/// balancing host answers.
const MIN_WAIT: Duration = Duration::from_millis(5);
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Time after which a prompt is asked for again that waits for the trial of one of its
/// parts.
const TRIAL_WAIT: Duration = Duration::from_millis(50);

/// Shortest delay after which the caller of a prompt that has waited in vain may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The balancers that run on this host.
#[derive(Default)]
pub struct Balancing {
    balancers: RefCell<HashMap<id::Pool, Balancer>>,
    logged: room::Logged,
    logged_trials: room::Logged,
    /// Until when hosts that have not answered are not asked.
    silent_until: RefCell<HashMap<SocketAddr, Time>>,
}

impl Balancing {
    fn is_silent(&self, address: SocketAddr) -> bool {
        let silent = self.silent_until.borrow();
        let until = silent.get(&address);
        until.is_some_and(|until| boot_clock::now() < *until)
    }

    fn mark_silent(&self, address: SocketAddr) {
        let now = boot_clock::now();
        let mut silent = self.silent_until.borrow_mut();
        silent.retain(|_, until| now < *until);
        silent.insert(address, now + SILENCE_PAUSE);
    }

    /// Counts and logs that a prompt waits for the trial of a part.
    fn observe_trial(&self, host: &Host, prompt: &Prompt, part: u64) {
        let service = prompt.service.as_str();
        host.tally
            .count("prompt_trial_waits", &[("service", service)]);

        if self.logged_trials.is_due(&prompt.service) {
            log::info!(
                service = service,
                part = format!("{part:x}").as_str();
                "prompts wait until a request shows that their part is harmless"
            );
        }
    }

    /// Updates the balancers with the engines that are listed now.
    pub fn update(&self, host: &Host) {
        for (service, balancer) in self.balancers.borrow_mut().iter_mut() {
            update(host, service, balancer);
        }
    }
}

/// An engine for a prompt, and the guard that reports how it fared if the
/// balancing host chose the engine.
pub struct Chosen {
    pub entry: Arc<Entry>,
    pub guard: Option<PlacementGuard>,
}

/// Chooses the engine for a request, except those in `exclude`.
///
/// # Errors
///
/// Returns the reason if no engine is left or a part of the prompt is in
/// quarantine.
pub async fn choose(
    host: &Rc<Host>,
    request: &Request,
    exclude: &[id::Endpoint],
    domain: Option<id::Domain>,
) -> Result<Chosen, Reason> {
    let parts = request.prompt_parts();

    if !parts.is_empty() {
        let prompt = Prompt {
            domain,
            exclude: closed_engines(host, request, exclude),
            fingerprint: request.fingerprint(),
            id: host.next_job(),
            parts,
            service: request.service.clone(),
            terms: request.terms(),
        };

        let on_probation = is_on_probation(host, &prompt);

        match ask(host, request, exclude, prompt).await {
            Asked::Chosen(chosen) => return Ok(chosen),
            Asked::Nothing if !on_probation => {}
            // Hosts that choose alone do not know of each other's requests.
            Asked::Nothing | Asked::Quarantined => return Err(Reason::Quarantined),
            Asked::Refused(time) => return Err(why_refused(host, request, time)),
        }
    }

    choose_alone(host, request, exclude).ok_or_else(|| why_none_is_left(host, request, exclude))
}

/// Returns the engines that the balancing host must not choose: those in `exclude`
/// and those of which only this host may know that they are leaving or want no
/// requests from it.
fn closed_engines(host: &Host, request: &Request, exclude: &[id::Endpoint]) -> Vec<id::Endpoint> {
    let view = host.view();
    let now = boot_clock::now();
    let placement = host.placement.borrow();
    let engines = view.roster.service(&request.service).iter();
    let closed = engines.filter(|entry| entry.leaving || placement.is_deferred(now, entry));
    let closed = closed.map(|entry| entry.endpoint.clone());
    exclude.iter().cloned().chain(closed).collect()
}

fn is_on_probation(host: &Host, prompt: &Prompt) -> bool {
    let quarantine = &host.view().quarantine;
    let now = boot_clock::now();
    quarantine::shared(&prompt.parts)
        .iter()
        .any(|part| quarantine.status(now, part.id) == Status::Probation)
}

/// What a host learnt from the balancing host.
enum Asked {
    Chosen(Chosen),
    /// The balancing host did not answer in time or named no engine that this
    /// host knows.
    Nothing,
    /// A part of the prompt is in quarantine, or on probation with a request
    /// under way.
    Quarantined,
    /// No engine has room before the deadline, but one does after the time.
    Refused(Duration),
}

/// Chooses the engine of a prompt of any host.
pub fn place(host: &Host, prompt: &Prompt) -> Answer {
    let view = host.view();
    let now = boot_clock::now();
    let mut balancers = host.balancing.balancers.borrow_mut();
    let balancer = balancers.entry(prompt.service.clone()).or_insert_with(|| {
        let mut balancer = Balancer::default();
        update(host, &prompt.service, &mut balancer);
        balancer
    });
    let barred = quarantine::shared(&prompt.parts).iter().any(|part| {
        match view.quarantine.status(now, part.id) {
            Status::Clear => false,
            Status::Probation => balancer.awaits(part.id),
            Status::Quarantined => true,
        }
    });

    if barred {
        return Choice::Quarantined.into();
    }

    if let Some(part) = balancer.part_on_trial(now, prompt) {
        host.balancing.observe_trial(host, prompt, part);
        return Choice::Wait(TRIAL_WAIT).into();
    }

    let open = view.roster.open(&prompt.service);
    let answer = balancer.answer(now, open, prompt);
    room::observe(host, balancer, prompt, &answer);
    answer
}

/// Records how a prompt of any host fared.
pub fn record(host: &Host, service: &id::Pool, id: &JobId, report: Report) {
    let quarantine = &host.view().quarantine;
    let mut balancers = host.balancing.balancers.borrow_mut();
    let Some(balancer) = balancers.get_mut(service) else {
        return;
    };
    let event = match balancer.report(boot_clock::now(), id, report, quarantine) {
        Finding::Nothing => return,
        Finding::Harmful(part) => {
            host.tally.count("quarantined_parts", &[]);
            Event::Quarantine(part)
        }
        Finding::Harmless(part) => Event::Release(part),
    };
    // Fails only after the control thread has stopped.
    drop(host.control.send(event));
}

fn update(host: &Host, service: &id::Pool, balancer: &mut Balancer) {
    let view = host.view();
    let config = view.config.as_ref();
    let engine = config.and_then(|config| config.services.get(service)?.engine.as_ref());
    let capacity = engine.map_or(0, |engine| engine.capacity);
    let settings = host.settings().engines;
    let limits = engine.filter(|engine| settings.room && engine.slots > 0);
    balancer.count_room(limits.map(|engine| Limits {
        capacity: engine.capacity,
        slots: engine.slots,
    }));
    balancer.estimate_speeds(settings.speeds);
    balancer.update(view.roster.service(service).iter(), capacity);
    balancer.set_fleet(view.cold_fleet());
}

/// Asks the balancing host, or the next one in order while it is silent: hosts that
/// choose alone know neither each other's prompts nor the engines that these crashed.
/// A prompt that has to wait for room is asked for again with the same id.
async fn ask(
    host: &Rc<Host>,
    request: &Request,
    exclude: &[id::Endpoint],
    mut prompt: Prompt,
) -> Asked {
    loop {
        let Some((address, answer)) = ask_once(host, request, &prompt).await else {
            return Asked::Nothing;
        };
        let Choice::Wait(time) = answer.choice else {
            return accept(host, prompt, address, answer).await;
        };
        let left = request.time_to_respond();

        if left <= time {
            return Asked::Refused(answer.backlog.max(MIN_RETRY_AFTER));
        }

        sleep(time.clamp(MIN_WAIT, MAX_WAIT)).await;
        prompt.exclude = closed_engines(host, request, exclude);
        prompt.terms = request.terms();
    }
}

/// Asks for the engine of a prompt once. Returns the balancing host and its answer, or
/// `None` if all are silent.
async fn ask_once(
    host: &Rc<Host>,
    request: &Request,
    prompt: &Prompt,
) -> Option<(Option<SocketAddr>, Answer)> {
    let dispatchers = dispatch::dispatchers(host, &prompt.service);

    for address in dispatchers.iter().take(MAX_BALANCERS) {
        let answer = match address {
            None => Some(place(host, prompt)),
            Some(address) => ask_peer(host, request, prompt, *address).await,
        };

        if let Some(answer) = answer {
            return Some((*address, answer));
        }
    }

    None
}

/// Asks another host for the engine of a prompt. Returns `None` if it is silent.
async fn ask_peer(
    host: &Rc<Host>,
    request: &Request,
    prompt: &Prompt,
    address: SocketAddr,
) -> Option<Answer> {
    if host.balancing.is_silent(address) {
        return None;
    }

    let answer = host.links.place_prompt(address, prompt, PLACE_TIMEOUT);

    match answer.await {
        Ok(answer) => Some(answer),
        Err(error) => {
            host.balancing.mark_silent(address);
            host.tally.count("balancer_silent", &[]);
            log::info!(
                request = request.id(),
                service = prompt.service.as_str(),
                balancer = address.to_string().as_str();
                "no engine from the balancing host: {error}"
            );
            None
        }
    }
}

/// Turns the answer of a balancing host into a choice of this host.
async fn accept(
    host: &Rc<Host>,
    prompt: Prompt,
    address: Option<SocketAddr>,
    answer: Answer,
) -> Asked {
    let (endpoint, wait) = match answer.choice {
        Choice::Engine(endpoint) => (endpoint, Duration::ZERO),
        Choice::Later { engine, wait } => (engine, wait),
        Choice::NoEngine | Choice::Wait(_) => return Asked::Nothing,
        Choice::Quarantined => return Asked::Quarantined,
        Choice::Refused(time) => return Asked::Refused(time),
    };
    let guard = PlacementGuard::new(host, address, prompt);

    if !wait.is_zero() {
        host.tally.time("cold_wait", wait, &[]);
        sleep(wait).await;
    }

    let view = host.view();
    let placement = host.placement.borrow();
    let now = boot_clock::now();
    let entry = view.roster.get(&endpoint);
    let entry = entry.filter(|entry| !entry.leaving && !placement.is_deferred(now, entry));

    match entry {
        Some(entry) => Asked::Chosen(Chosen {
            entry: Arc::clone(entry),
            guard: Some(guard),
        }),
        None => Asked::Nothing,
    }
}

/// Returns why the balancing host has refused a prompt that could be placed after
/// `time`.
fn why_refused(host: &Host, request: &Request, time: Duration) -> Reason {
    let view = host.view();
    let open = || view.roster.open(&request.service);
    let cold = host.placement.borrow().cold(boot_clock::now(), open());

    if cold == open().count() {
        Reason::Cold(time)
    } else {
        Reason::NoRoom(time)
    }
}

/// Chooses an engine from the observations of this host alone.
fn choose_alone(host: &Host, request: &Request, exclude: &[id::Endpoint]) -> Option<Chosen> {
    let view = host.view();
    let criteria = Criteria {
        domain: None,
        exclude,
        session: request.session(),
    };
    let open = view.roster.open(&request.service);
    let now = boot_clock::now();
    let entry = host
        .placement
        .borrow()
        .choose(now, open, criteria)
        .cloned()?;
    host.placement.borrow_mut().record_choice(now, &entry);
    Some(Chosen { entry, guard: None })
}
