//! Conversions of the store's objects that hosts send each other.

use {
    super::{length, millis},
    crate::{
        state::serving::{
            mirror::{Changes, Object, RelayedChanges, Value},
            revision::Revision,
        },
        transport::{
            packing,
            peer_capnp::{changes, object},
        },
    },
    std::time::Duration,
};

/// Writes the changed objects of a kind. `unpacks` says whether the reader unpacks
/// values.
pub fn write_changes(mut builder: changes::Builder, relayed: &RelayedChanges, unpacks: bool) {
    let changes = &relayed.changes;
    builder.set_age_ms(millis(relayed.age));
    builder.set_era(changes.revision.era);
    builder.set_revision(changes.revision.number);
    builder.set_whole(changes.whole);
    let mut objects = builder.init_objects(length(changes.objects.len()));

    for (index, object) in (0..).zip(&changes.objects) {
        let mut row = objects.reborrow().get(index);
        row.set_name(&object.name);
        row.set_removed(object.removed);
        row.set_revision(object.revision);
        let packed = unpacks.then(|| packing::pack(&object.value)).flatten();
        row.set_packed(packed.is_some());
        row.set_value(packed.unwrap_or(object.value.as_bytes()));
    }
}

/// Reads the changed objects of a kind.
///
/// # Errors
///
/// Returns an error for a malformed field.
pub fn read_changes(reader: changes::Reader) -> capnp::Result<RelayedChanges> {
    let objects = reader.get_objects()?;
    let objects = objects.iter().map(|row| {
        Ok(Object {
            name: row.get_name()?.to_string()?,
            removed: row.get_removed(),
            revision: row.get_revision(),
            value: read_value(row)?,
        })
    });

    Ok(RelayedChanges {
        age: Duration::from_millis(reader.get_age_ms().into()),
        changes: Changes {
            history_lost: false,
            objects: objects.collect::<capnp::Result<Vec<Object>>>()?,
            revision: Revision::new(reader.get_era(), reader.get_revision()),
            whole: reader.get_whole(),
        },
    })
}

fn read_value(row: object::Reader) -> capnp::Result<Value> {
    let bytes = row.get_value()?;

    if !row.get_packed() {
        return Ok(bytes.to_vec().into());
    }

    packing::unpack(bytes)
        .map_err(|error| capnp::Error::failed(format!("a packed value is unreadable: {error}")))
}
