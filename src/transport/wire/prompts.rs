//! Conversions of prompts that need an engine, and of the answers and reports about
//! them.

use {
    super::{length, millis},
    crate::{
        state::{
            id,
            serving::{
                balance::{Answer, Choice, Part, Prompt, Report, Terms},
                piece::JobId,
            },
        },
        transport::peer_capnp::{peer::place_prompt_results, placement},
    },
    std::time::Duration,
};

/// Writes a prompt that needs an engine.
pub fn write_prompt(mut builder: placement::Builder, prompt: &Prompt) {
    builder.set_domain(prompt.domain.as_ref().map_or("", id::Domain::as_str));
    builder.set_fingerprint(prompt.fingerprint);
    builder.set_home(prompt.id.home.as_str());
    builder.set_id(prompt.id.number);
    builder.set_service(prompt.service.as_str());
    write_terms(builder.reborrow(), &prompt.terms);
    let mut exclude = builder
        .reborrow()
        .init_exclude(length(prompt.exclude.len()));

    for (index, endpoint) in (0..).zip(&prompt.exclude) {
        exclude.set(index, endpoint.as_str());
    }

    let mut parts = builder.init_parts(length(prompt.parts.len()));

    for (index, part) in (0..).zip(&prompt.parts) {
        let mut row = parts.reborrow().get(index);
        row.set_id(part.id);
        row.set_prefix(part.prefix);
        row.set_tokens(part.tokens);
    }
}

/// Reads a prompt that needs an engine.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_prompt(reader: placement::Reader) -> capnp::Result<Prompt> {
    let domain = reader.get_domain()?.to_str()?;
    // Requests of hosts of earlier versions count as different from each other.
    let fingerprint = match reader.get_fingerprint() {
        0 => reader.get_id(),
        fingerprint => fingerprint,
    };
    let exclude = reader.get_exclude()?;
    let exclude = exclude
        .iter()
        .map(|endpoint| Ok(endpoint?.to_str()?.into()));
    let parts = reader.get_parts()?;
    let parts = parts.iter().map(|part| Part {
        id: part.get_id(),
        prefix: part.get_prefix(),
        tokens: part.get_tokens(),
    });

    Ok(Prompt {
        domain: (!domain.is_empty()).then(|| domain.into()),
        exclude: exclude.collect::<capnp::Result<Vec<id::Endpoint>>>()?,
        fingerprint,
        id: JobId {
            home: reader.get_home()?.to_str()?.into(),
            number: reader.get_id(),
        },
        parts: parts.collect(),
        service: reader.get_service()?.to_str()?.into(),
        terms: read_terms(reader)?,
    })
}

fn write_terms(mut builder: placement::Builder, terms: &Terms) {
    builder.set_output_tokens(terms.output_tokens);
    builder.set_priority(terms.priority);
    builder.set_remaining_ms(millis(terms.remaining));
    builder.set_team(terms.team.as_ref().map_or("", id::Team::as_str));
    builder.set_urgency_ms(millis(terms.urgency));
    builder.set_waits(terms.waits);
}

fn read_terms(reader: placement::Reader) -> capnp::Result<Terms> {
    let team = reader.get_team()?.to_str()?;

    Ok(Terms {
        output_tokens: reader.get_output_tokens(),
        priority: reader.get_priority(),
        remaining: Duration::from_millis(reader.get_remaining_ms().into()),
        team: (!team.is_empty()).then(|| team.into()),
        urgency: Duration::from_millis(reader.get_urgency_ms().into()),
        waits: reader.get_waits(),
    })
}

/// Writes the answer to a host that needs an engine.
pub fn write_placement(mut builder: place_prompt_results::Builder, answer: &Answer) {
    builder.set_backlog_ms(millis(answer.backlog));
    // Hosts of earlier versions report the end of a prompt only if this is set.
    builder.set_counted(true);

    match &answer.choice {
        Choice::Engine(endpoint) => builder.set_endpoint(endpoint.as_str()),
        Choice::Later { engine, wait } => {
            builder.set_endpoint(engine.as_str());
            builder.set_wait_ms(millis(*wait).max(1));
        }
        Choice::NoEngine => {}
        Choice::Quarantined => builder.set_quarantined(true),
        Choice::Refused(time) => {
            builder.set_refused(true);
            builder.set_retry_after_ms(millis(*time));
        }
        // 0 means that the prompt does not wait.
        Choice::Wait(time) => builder.set_wait_ms(millis(*time).max(1)),
    }
}

/// Reads the answer of a balancing host.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_placement(reader: place_prompt_results::Reader) -> capnp::Result<Answer> {
    let endpoint = reader.get_endpoint()?.to_str()?;
    let choice = if reader.get_quarantined() {
        Choice::Quarantined
    } else if !endpoint.is_empty() && reader.get_wait_ms() > 0 {
        Choice::Later {
            engine: endpoint.into(),
            wait: Duration::from_millis(reader.get_wait_ms().into()),
        }
    } else if !endpoint.is_empty() {
        Choice::Engine(endpoint.into())
    } else if reader.get_refused() {
        Choice::Refused(Duration::from_millis(reader.get_retry_after_ms().into()))
    } else if reader.get_wait_ms() > 0 {
        Choice::Wait(Duration::from_millis(reader.get_wait_ms().into()))
    } else {
        Choice::NoEngine
    };

    Ok(Answer {
        backlog: Duration::from_millis(reader.get_backlog_ms().into()),
        choice,
    })
}

/// Reads how a prompt fared.
///
/// # Errors
///
/// Returns an error for an unknown name.
pub fn read_report(name: &str) -> capnp::Result<Report> {
    Report::ALL
        .into_iter()
        .find(|report| report.name() == name)
        .ok_or_else(|| capnp::Error::failed(format!("{name:?} is not a report")))
}
