//! Conversions of what hosts tell each other about requests under which endpoints have
//! crashed.

use {
    super::{length, millis},
    crate::{
        state::serving::crashes::{Loss, Suspicion},
        transport::peer_capnp::{loss, suspicion},
    },
    capnp::struct_list,
    std::time::Duration,
};

/// Writes suspicions.
pub(super) fn write(mut builder: struct_list::Builder<suspicion::Owned>, suspicions: &[Suspicion]) {
    for (index, suspicion) in (0..).zip(suspicions) {
        let mut row = builder.reborrow().get(index);
        row.set_answered(suspicion.answered.is_some());
        row.set_answered_age_ms(suspicion.answered.map_or(0, millis));
        row.set_answered_before(suspicion.answered_before);
        row.set_fingerprint(suspicion.fingerprint);
        let mut losses = row.init_losses(length(suspicion.losses.len()));

        for (index, loss) in (0..).zip(&suspicion.losses) {
            let mut row = losses.reborrow().get(index);
            row.set_age_ms(millis(loss.age));
            row.set_endpoint(loss.endpoint.as_str());
            row.set_incarnation(loss.incarnation);
        }
    }
}

/// Reads suspicions.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub(super) fn read(reader: struct_list::Reader<suspicion::Owned>) -> capnp::Result<Vec<Suspicion>> {
    let suspicions = reader.iter().map(|row| {
        let age = Duration::from_millis(row.get_answered_age_ms().into());
        Ok(Suspicion {
            answered: row.get_answered().then_some(age),
            answered_before: row.get_answered_before(),
            fingerprint: row.get_fingerprint(),
            losses: row
                .get_losses()?
                .iter()
                .map(read_loss)
                .collect::<capnp::Result<Vec<Loss>>>()?,
        })
    });
    suspicions.collect()
}

fn read_loss(row: loss::Reader) -> capnp::Result<Loss> {
    Ok(Loss {
        age: Duration::from_millis(row.get_age_ms().into()),
        endpoint: row.get_endpoint()?.to_str()?.into(),
        incarnation: row.get_incarnation(),
    })
}
