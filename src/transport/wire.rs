//! Conversions between the types of the peer schema and those of the state
//! modules.

mod objects;
mod prompts;
mod suspicions;

pub use {
    objects::{read_changes, write_changes},
    prompts::{read_placement, read_prompt, read_report, write_placement, write_prompt},
};

use {
    crate::{
        state::{
            claims::witness::{Subject, WitnessAnswer},
            clock::Time,
            fleet::gossip::{Message, News},
            fleet::member::{Member, Phase},
            id,
            serving::{
                piece::{Failure, Input, Job, JobId, Outcome, Output},
                quarantine::Entry,
            },
        },
        transport::peer_capnp::{
            self, job, member, message, outcome, output, quarantined, subject,
        },
    },
    capnp::struct_list,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Writes a message with membership records.
pub fn write_message(mut builder: message::Builder, message: &Message) {
    write_member(builder.reborrow().init_from(), &message.from);
    builder.set_known(length(message.known));
    let quarantine = builder
        .reborrow()
        .init_quarantine(length(message.news.harmful_parts.len()));
    write_quarantine(quarantine, &message.news.harmful_parts);
    let harmful = builder
        .reborrow()
        .init_harmful_requests(length(message.news.harmful_requests.len()));
    write_quarantine(harmful, &message.news.harmful_requests);
    let suspicions = builder
        .reborrow()
        .init_suspicions(length(message.news.suspicions.len()));
    suspicions::write(suspicions, &message.news.suspicions);
    let mut updates = builder.init_updates(length(message.updates.len()));

    for (index, update) in (0..).zip(&message.updates) {
        write_member(updates.reborrow().get(index), update);
    }
}

/// Reads a message with membership records.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_message(reader: message::Reader) -> capnp::Result<Message> {
    Ok(Message {
        from: read_member(reader.get_from()?)?,
        known: reader.get_known() as usize,
        news: Box::new(News {
            harmful_parts: read_quarantine(reader.get_quarantine()?),
            harmful_requests: read_quarantine(reader.get_harmful_requests()?),
            suspicions: suspicions::read(reader.get_suspicions()?)?,
        }),
        updates: reader
            .get_updates()?
            .iter()
            .map(read_member)
            .collect::<capnp::Result<Vec<Member>>>()?,
    })
}

fn write_quarantine(mut builder: struct_list::Builder<quarantined::Owned>, entries: &[Entry]) {
    for (index, entry) in (0..).zip(entries) {
        let mut row = builder.reborrow().get(index);
        row.set_part(entry.part);
        row.set_remaining_ms(millis(entry.remaining));
    }
}

fn read_quarantine(reader: struct_list::Reader<quarantined::Owned>) -> Vec<Entry> {
    let entries = reader.iter().map(|row| Entry {
        part: row.get_part(),
        remaining: Duration::from_millis(row.get_remaining_ms().into()),
    });
    entries.collect()
}

/// Writes the part of a ticket that its witness needs.
pub fn write_subject(mut builder: subject::Builder, subject: &Subject) {
    builder.set_host(subject.host.as_str());
    builder.set_incarnation(subject.incarnation.0);
    builder.set_request(subject.request.as_str());
    builder.set_stamp(subject.stamp.as_micros());
}

/// Reads the part of a ticket that its witness needs.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_subject(reader: subject::Reader) -> capnp::Result<Subject> {
    Ok(Subject {
        host: reader.get_host()?.to_str()?.into(),
        incarnation: id::Incarnation(reader.get_incarnation()),
        request: reader.get_request()?.to_str()?.into(),
        stamp: Time::from_micros(reader.get_stamp()),
    })
}

/// Converts the answer of a witness to its schema value.
pub fn write_witness_answer(answer: WitnessAnswer) -> peer_capnp::Verdict {
    match answer {
        WitnessAnswer::Expired => peer_capnp::Verdict::Expired,
        WitnessAnswer::Full => peer_capnp::Verdict::Full,
        WitnessAnswer::Granted => peer_capnp::Verdict::Granted,
        WitnessAnswer::MayHaveRun => peer_capnp::Verdict::MayHaveRun,
        WitnessAnswer::Taken => peer_capnp::Verdict::Taken,
        WitnessAnswer::Voided => peer_capnp::Verdict::Voided,
    }
}

/// Converts a schema value to the answer of a witness.
pub fn read_witness_answer(answer: peer_capnp::Verdict) -> WitnessAnswer {
    match answer {
        peer_capnp::Verdict::Expired => WitnessAnswer::Expired,
        peer_capnp::Verdict::Full => WitnessAnswer::Full,
        peer_capnp::Verdict::Granted => WitnessAnswer::Granted,
        peer_capnp::Verdict::MayHaveRun => WitnessAnswer::MayHaveRun,
        peer_capnp::Verdict::Taken => WitnessAnswer::Taken,
        peer_capnp::Verdict::Voided => WitnessAnswer::Voided,
    }
}

/// Writes a job.
pub fn write_job(mut builder: job::Builder, job: &Job) {
    builder.set_domain(job.domain.as_ref().map_or("", id::Domain::as_str));
    builder.set_first(job.first);
    builder.set_home(job.id.home.as_str());
    builder.set_id(job.id.number);
    builder.set_output_bytes(job.output_bytes);
    builder.set_priority(job.priority);
    builder.set_remaining_ms(millis(job.remaining));
    builder.set_request(&job.request);
    builder.set_service(job.service.as_str());
    builder.set_stage(job.stage);
    builder.set_team(job.team.as_ref().map_or("", id::Team::as_str));
    builder.set_urgency_ms(millis(job.urgency));
    let mut pieces = builder.reborrow().init_pieces(length(job.pieces.len()));

    for (index, piece) in (0..).zip(&job.pieces) {
        pieces.set(index, *piece);
    }

    match &job.input {
        Input::Key(key) => builder.set_key(key),
        Input::Outputs(outputs) => {
            let mut inputs = builder.init_inputs(length(outputs.len()));

            for (index, output) in (0..).zip(outputs) {
                inputs.set(index, output);
            }
        }
    }
}

/// Reads a job.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_job(reader: job::Reader) -> capnp::Result<Job> {
    let domain = reader.get_domain()?.to_str()?;
    let team = reader.get_team()?.to_str()?;
    let inputs = reader.get_inputs()?;
    let input = if inputs.is_empty() {
        Input::Key(reader.get_key()?.to_string()?)
    } else {
        let inputs = inputs.iter().map(|input| Ok(input?.to_string()?));
        Input::Outputs(inputs.collect::<capnp::Result<Vec<String>>>()?)
    };

    Ok(Job {
        domain: (!domain.is_empty()).then(|| domain.into()),
        first: reader.get_first(),
        id: JobId {
            home: reader.get_home()?.to_str()?.into(),
            number: reader.get_id(),
        },
        input,
        output_bytes: reader.get_output_bytes(),
        pieces: reader.get_pieces()?.iter().collect(),
        priority: reader.get_priority(),
        remaining: Duration::from_millis(reader.get_remaining_ms().into()),
        request: reader.get_request()?.to_string()?,
        service: reader.get_service()?.to_str()?.into(),
        stage: reader.get_stage(),
        team: (!team.is_empty()).then(|| team.into()),
        urgency: Duration::from_millis(reader.get_urgency_ms().into()),
    })
}

/// Writes the outcome of a job.
pub fn write_outcome(mut builder: outcome::Builder, outcome: &Outcome) {
    builder.set_backlog_ms(millis(outcome.backlog));
    builder.set_failure(outcome.failure.map_or("", Failure::name));
    builder.set_retry_after_ms(millis(outcome.retry_after));
    write_outputs(
        builder.init_outputs(length(outcome.outputs.len())),
        &outcome.outputs,
    );
}

/// Reads the outcome of a job.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_outcome(reader: outcome::Reader) -> capnp::Result<Outcome> {
    let name = reader.get_failure()?.to_str()?;
    let failure = Failure::ALL
        .into_iter()
        .find(|failure| failure.name() == name);

    if failure.is_none() && !name.is_empty() {
        return Err(capnp::Error::failed(format!("{name:?} is not a failure")));
    }

    Ok(Outcome {
        backlog: Duration::from_millis(reader.get_backlog_ms().into()),
        failure,
        outputs: read_outputs(reader.get_outputs()?)?,
        retry_after: Duration::from_millis(reader.get_retry_after_ms().into()),
    })
}

/// Writes the outputs of pieces.
pub fn write_outputs(mut builder: capnp::struct_list::Builder<output::Owned>, outputs: &[Output]) {
    for (index, output) in (0..).zip(outputs) {
        let mut row = builder.reborrow().get(index);
        row.set_endpoint(output.endpoint.as_str());
        row.set_handle(&output.handle);
        row.set_piece(output.piece);
    }
}

/// Reads the outputs of pieces.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_outputs(
    reader: capnp::struct_list::Reader<output::Owned>,
) -> capnp::Result<Vec<Output>> {
    reader
        .iter()
        .map(|row| {
            Ok(Output {
                endpoint: row.get_endpoint()?.to_str()?.into(),
                handle: row.get_handle()?.to_string()?,
                piece: row.get_piece(),
            })
        })
        .collect()
}

/// Reads a socket address in its text form.
///
/// # Errors
///
/// Returns an error for any other text.
pub fn read_address(text: capnp::text::Reader) -> capnp::Result<SocketAddr> {
    let text = text.to_str()?;
    text.parse()
        .map_err(|_| capnp::Error::failed(format!("{text:?} is not a socket address")))
}

fn write_member(mut builder: member::Builder, member: &Member) {
    builder.set_caller_address(member.caller_address.to_string());
    builder.set_capacity(member.capacity);
    builder.set_clock(member.clock.as_micros());
    builder.set_domain(member.domain.as_str());
    builder.set_endpoints(member.endpoints);
    builder.set_era(member.era);
    builder.set_evacuations(member.evacuations);
    builder.set_host(member.host.as_str());
    builder.set_incarnation(member.incarnation.0);
    builder.set_outstanding(member.outstanding);
    builder.set_peer_address(member.peer_address.to_string());
    builder.set_phase(write_phase(member.phase));
    builder.set_settings(member.settings);
    let mut demand = builder.init_demand(length(member.demand.len()));

    for (index, (team, requests)) in (0..).zip(&member.demand) {
        let mut row = demand.reborrow().get(index);
        row.set_requests(*requests);
        row.set_team(team.as_str());
    }
}

fn read_member(reader: member::Reader) -> capnp::Result<Member> {
    let mut demand = BTreeMap::new();

    for row in reader.get_demand()? {
        demand.insert(row.get_team()?.to_str()?.into(), row.get_requests());
    }

    Ok(Member {
        caller_address: read_address(reader.get_caller_address()?)?,
        capacity: reader.get_capacity(),
        clock: Time::from_micros(reader.get_clock()),
        demand,
        domain: reader.get_domain()?.to_str()?.into(),
        endpoints: reader.get_endpoints(),
        era: reader.get_era(),
        evacuations: reader.get_evacuations(),
        host: reader.get_host()?.to_str()?.into(),
        incarnation: id::Incarnation(reader.get_incarnation()),
        outstanding: reader.get_outstanding(),
        peer_address: read_address(reader.get_peer_address()?)?,
        phase: read_phase(reader.get_phase()?),
        settings: reader.get_settings(),
    })
}

fn write_phase(phase: Phase) -> peer_capnp::Phase {
    match phase {
        Phase::Alive => peer_capnp::Phase::Alive,
        Phase::Gone => peer_capnp::Phase::Gone,
        Phase::Leaving => peer_capnp::Phase::Leaving,
        Phase::Suspect => peer_capnp::Phase::Suspect,
    }
}

fn read_phase(phase: peer_capnp::Phase) -> Phase {
    match phase {
        peer_capnp::Phase::Alive => Phase::Alive,
        peer_capnp::Phase::Gone => Phase::Gone,
        peer_capnp::Phase::Leaving => Phase::Leaving,
        peer_capnp::Phase::Suspect => Phase::Suspect,
    }
}

/// Returns a time in whole milliseconds.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
