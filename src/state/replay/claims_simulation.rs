//! Simulation of claims in a small fleet with a faulty network.

use {
    crate::state::{
        claims::home::{self, Admission, Permission},
        claims::refusal::{Outcome, Refusal},
        claims::resolution::{self, Route},
        claims::witness::{Subject, WitnessAnswer},
        clock::Time,
        id,
        replay::claims_host::{Host, Record, member, name},
        replay::claims_network::{Content, Message, Network},
        replay::claims_trace::{CallerAnswer, Endpoint, Step},
        replay::claims_violation::{RanDespiteNotRunSnafu, RanTwiceSnafu, Violation},
    },
    std::time::Duration,
};

/// Result of a call to a witness: `None` for a ticket without a witness, an
/// error if the witness did not answer.
type WitnessReply = Option<Result<WitnessAnswer, String>>;

#[derive(Debug)]
struct Ticket {
    home: usize,
    issued: Time,
    issuer: id::Incarnation,
    runs: u32,
    witness: Option<(usize, Subject)>,
}

/// Simulated hosts, the messages between them, and the number of runs of every
/// ticket.
#[derive(Debug)]
pub struct Simulation {
    hosts: Vec<Host>,
    incarnations: u64,
    network: Network,
    nonces: u64,
    tickets: Vec<Ticket>,
    answers: Vec<CallerAnswer>,
}

impl Simulation {
    /// Builds a fleet in which every host has received the state of all others.
    pub fn new(hosts: usize, witness_records: usize) -> Self {
        Self {
            hosts: (0..hosts)
                .map(|host| Host::new(host, hosts, witness_records))
                .collect(),
            incarnations: 1,
            network: Network::default(),
            nonces: 0,
            tickets: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Executes one step.
    ///
    /// # Errors
    ///
    /// Returns the violation that the step caused.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Cut { between } => self.network.cut(between),
            Step::Deliver { again, message } => self.deliver(message, again),
            Step::Expire { host } => self.expire(host),
            Step::Freeze { host } => self.update_host(host, |host| host.frozen = true),
            Step::Heal { between } => self.network.heal(between),
            Step::ReceiveState { host, peer } => self.receive_state(host, peer),
            Step::Issue { home, witness } => self.issue(home, witness),
            Step::Kill { host } => self.update_host(host, |host| host.up = false),
            Step::Lose { message } => self.network.remove(message),
            Step::Advance { host, millis } => {
                self.advance_clocks(host, Duration::from_millis(millis))
            }
            Step::Post {
                home_up,
                host,
                ticket,
            } => self.post(host, ticket, home_up),
            Step::Renew { host } => {
                let incarnation = self.next_incarnation();
                self.update_host(host, |host| host.change_incarnation(incarnation));
            }
            Step::Restart { host } => self.restart(host),
            Step::Send { endpoint, ticket } => self.send(ticket, endpoint),
            Step::TimeOut { host, ticket } => self.time_out(host, ticket),
            Step::Wake { host } => self.update_host(host, |host| host.frozen = false),
        }

        self.check()
    }

    /// Returns the answers to callers, in order.
    pub fn answers(&self) -> &[CallerAnswer] {
        &self.answers
    }

    /// Returns the number of runs by ticket.
    pub fn runs(&self) -> Vec<u32> {
        self.tickets.iter().map(|ticket| ticket.runs).collect()
    }

    /// Returns the indexes of the messages in flight, oldest first.
    pub fn messages(&self) -> impl Iterator<Item = usize> {
        self.network.indexes()
    }

    fn check(&self) -> Result<(), Violation> {
        for (ticket, Ticket { runs, .. }) in self.tickets.iter().enumerate() {
            let not_run = |answer: &CallerAnswer| {
                answer.ticket == ticket && answer.outcome == Some(Outcome::NotRun)
            };

            if *runs > 1 {
                return RanTwiceSnafu {
                    runs: *runs,
                    ticket,
                }
                .fail();
            }

            if *runs > 0 && self.answers.iter().any(not_run) {
                return RanDespiteNotRunSnafu { ticket }.fail();
            }
        }

        Ok(())
    }

    fn update_host(&mut self, host: usize, change: impl FnOnce(&mut Host)) {
        if let Some(host) = self.hosts.get_mut(host) {
            change(host);
        }
    }

    fn active(&self, host: usize) -> bool {
        self.hosts.get(host).is_some_and(Host::active)
    }

    fn next_incarnation(&mut self) -> id::Incarnation {
        self.incarnations += 1;
        id::Incarnation(self.incarnations)
    }

    fn advance_clocks(&mut self, host: Option<usize>, duration: Duration) {
        for (index, entry) in self.hosts.iter_mut().enumerate() {
            if host.is_none_or(|host| host == index) {
                entry.clock = entry.clock + duration;
            }
        }
    }

    fn receive_state(&mut self, host: usize, peer: usize) {
        if host != peer && self.active(host) && self.active(peer) {
            let last_received = (self.hosts[peer].incarnation, self.hosts[peer].clock);
            self.hosts[host].last_received.insert(peer, last_received);
        }
    }

    fn restart(&mut self, host: usize) {
        if self.hosts.get(host).is_some_and(|host| !host.up) {
            let incarnation = self.next_incarnation();
            self.hosts[host].restart(incarnation);
        }
    }

    fn expire(&mut self, host: usize) {
        if self.active(host) {
            let tickets = &self.tickets;
            self.hosts[host].expire(|ticket| tickets[ticket].issued);
        }
    }

    fn issue(&mut self, home: usize, witness: Option<usize>) {
        if !self.active(home) {
            return;
        }

        let host = &self.hosts[home];
        let request = id::Request::from(format!(
            "h{home}.{}.{}",
            host.incarnation,
            self.tickets.len()
        ));
        let witness = witness.and_then(|witness| {
            let (incarnation, stamp) = *host.last_received.get(&witness)?;
            let subject = Subject {
                host: name(witness),
                incarnation,
                request,
                stamp,
            };
            Some((witness, subject))
        });

        self.tickets.push(Ticket {
            home,
            issued: host.clock,
            issuer: host.incarnation,
            runs: 0,
            witness,
        });
    }

    fn post(&mut self, host: usize, ticket: usize, home_up: bool) {
        if !self.active(host) || ticket >= self.tickets.len() {
            return;
        }

        let Ticket { home, issuer, .. } = self.tickets[ticket];
        let member = home_up.then(|| member(home, issuer));
        let forwarded = resolution::route(member.as_ref(), issuer) == Route::Home
            && self.active(home)
            && self.network.is_connected([host, home]);

        if host == home || forwarded {
            self.post_home(home, ticket);
        } else {
            self.request_void(host, ticket);
        }
    }

    fn post_home(&mut self, home: usize, ticket: usize) {
        let host = &self.hosts[home];
        let record = host.records.get(&ticket).copied();
        let Ticket { issued, issuer, .. } = self.tickets[ticket];
        let admission = home::admission(
            record.is_some(),
            issuer,
            issued,
            host.incarnation,
            host.clock,
        );

        match admission {
            Admission::Join => match record {
                Some(Record::Answered) => self.record_answer(home, ticket, None),
                Some(Record::Closed(outcome)) => self.record_answer(home, ticket, Some(outcome)),
                _ => {}
            },
            Admission::Refuse(refusal) => self.record_answer(home, ticket, Some(refusal.outcome)),
            Admission::Resolve => self.request_void(home, ticket),
            Admission::Run => self.request_permit(home, ticket),
        }
    }

    fn request_permit(&mut self, home: usize, ticket: usize) {
        self.nonces += 1;
        let nonce = self.nonces;
        self.hosts[home]
            .records
            .insert(ticket, Record::AwaitingPermit { nonce });

        match self.tickets[ticket].witness {
            Some((to, _)) => self.network.send(Message {
                content: Content::Permit { nonce },
                from: home,
                ticket,
                to,
            }),
            None => self.handle_permit_reply(home, ticket, nonce, None),
        }
    }

    fn request_void(&mut self, host: usize, ticket: usize) {
        match self.tickets[ticket].witness {
            Some((to, _)) => {
                self.hosts[host].resolving.insert(ticket);
                self.network.send(Message {
                    content: Content::Void,
                    from: host,
                    ticket,
                    to,
                });
            }
            None => self.handle_void_reply(host, ticket, None),
        }
    }

    /// Handles the result of a home's call for a permit.
    fn handle_permit_reply(&mut self, home: usize, ticket: usize, nonce: u64, reply: WitnessReply) {
        if self.hosts[home].records.get(&ticket) != Some(&Record::AwaitingPermit { nonce }) {
            return;
        }

        let record = match home::permission(reply) {
            Permission::Close(Refusal { outcome, .. }) => {
                self.record_answer(home, ticket, Some(outcome));
                Record::Closed(outcome)
            }
            Permission::Send => Record::Permitted,
        };

        self.hosts[home].records.insert(ticket, record);
    }

    /// Handles the result of a host's call for a void.
    fn handle_void_reply(&mut self, host: usize, ticket: usize, reply: WitnessReply) {
        let refusal = resolution::refusal(reply);
        self.record_answer(host, ticket, Some(refusal.outcome));
    }

    fn send(&mut self, ticket: usize, endpoint: Endpoint) {
        let Some(home) = self.tickets.get(ticket).map(|ticket| ticket.home) else {
            return;
        };

        if !self.active(home) || self.hosts[home].records.get(&ticket) != Some(&Record::Permitted) {
            return;
        }

        let (record, outcome) = match endpoint {
            Endpoint::Dies => (Record::Closed(Outcome::Unknown), Some(Outcome::Unknown)),
            Endpoint::Refuses => return,
            Endpoint::Runs => (Record::Answered, None),
        };

        self.hosts[home].records.insert(ticket, record);
        self.tickets[ticket].runs += 1;
        self.record_answer(home, ticket, outcome);
    }

    fn time_out(&mut self, host: usize, ticket: usize) {
        if !self.active(host) {
            return;
        }

        let no_answer = || Some(Err(String::from("no answer")));

        if let Some(Record::AwaitingPermit { nonce }) =
            self.hosts[host].records.get(&ticket).copied()
        {
            self.handle_permit_reply(host, ticket, nonce, no_answer());
        }

        if self.hosts[host].resolving.remove(&ticket) {
            self.handle_void_reply(host, ticket, no_answer());
        }
    }

    fn deliver(&mut self, index: usize, again: bool) {
        let Some(message) = self.network.message(index) else {
            return;
        };
        let Message {
            content,
            from,
            ticket,
            to,
        } = message;

        if !self.active(to) {
            return;
        }

        if !again {
            self.network.remove(index);
        }

        match content {
            Content::PermitReply { nonce, answer } => {
                self.handle_permit_reply(to, ticket, nonce, Some(Ok(answer)));
            }
            Content::Permit { .. } | Content::Void => {
                let Some((_, subject)) = &self.tickets[ticket].witness else {
                    return;
                };
                let content = self.hosts[to].answer_as_witness(content, subject);
                self.network.send(Message {
                    content,
                    from: to,
                    ticket,
                    to: from,
                });
            }
            Content::VoidReply(answer) => {
                if self.hosts[to].resolving.remove(&ticket) {
                    self.handle_void_reply(to, ticket, Some(Ok(answer)));
                }
            }
        }
    }

    fn record_answer(&mut self, host: usize, ticket: usize, outcome: Option<Outcome>) {
        self.answers.push(CallerAnswer {
            host,
            outcome,
            ticket,
        });
    }
}
