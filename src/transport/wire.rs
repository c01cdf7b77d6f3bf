//! Converts between the peer schema's types and the program's own.

use {
    crate::{
        state::{
            clock::Time,
            gossip::Message,
            id,
            member::{Member, Phase},
            witness::{Subject, Verdict},
        },
        transport::peer_capnp::{self, member, message, subject},
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Writes both records of a message.
pub fn write_message(mut builder: message::Builder, message: &Message) {
    write_member(builder.reborrow().init_from(), &message.from);
    let mut updates = builder.init_updates(length(message.updates.len()));

    for (index, update) in (0..).zip(&message.updates) {
        write_member(updates.reborrow().get(index), update);
    }
}

/// Reads a message.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_message(reader: message::Reader) -> capnp::Result<Message> {
    Ok(Message {
        from: read_member(reader.get_from()?)?,
        updates: reader
            .get_updates()?
            .iter()
            .map(read_member)
            .collect::<capnp::Result<Vec<Member>>>()?,
    })
}

/// Writes what a witness needs to know of a ticket.
pub fn write_subject(mut builder: subject::Builder, subject: &Subject) {
    builder.set_host(subject.host.as_str());
    builder.set_incarnation(subject.incarnation.0);
    builder.set_request(subject.request.as_str());
    builder.set_stamp(subject.stamp.as_micros());
}

/// Reads what a witness needs to know of a ticket.
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

/// Returns the schema's value for a verdict.
pub fn write_verdict(verdict: Verdict) -> peer_capnp::Verdict {
    match verdict {
        Verdict::Expired => peer_capnp::Verdict::Expired,
        Verdict::Full => peer_capnp::Verdict::Full,
        Verdict::Granted => peer_capnp::Verdict::Granted,
        Verdict::MayHaveRun => peer_capnp::Verdict::MayHaveRun,
        Verdict::Taken => peer_capnp::Verdict::Taken,
        Verdict::Voided => peer_capnp::Verdict::Voided,
    }
}

/// Returns the verdict for the schema's value.
pub fn read_verdict(verdict: peer_capnp::Verdict) -> Verdict {
    match verdict {
        peer_capnp::Verdict::Expired => Verdict::Expired,
        peer_capnp::Verdict::Full => Verdict::Full,
        peer_capnp::Verdict::Granted => Verdict::Granted,
        peer_capnp::Verdict::MayHaveRun => Verdict::MayHaveRun,
        peer_capnp::Verdict::Taken => Verdict::Taken,
        peer_capnp::Verdict::Voided => Verdict::Voided,
    }
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
    builder.set_clock(member.clock.as_micros());
    builder.set_domain(member.domain.as_str());
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
        clock: Time::from_micros(reader.get_clock()),
        demand,
        domain: reader.get_domain()?.to_str()?.into(),
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

fn length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
