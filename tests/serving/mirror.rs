//! A host's copy of the store must never return to an older state, whatever the
//! order of responses from the store and peers, and must converge to the store.

use {
    crate::fuzz,
    persimmoncleat::state::serving::{
        mirror::{Changes, Mirror, Object, Outcome, Value},
        revision::Revision,
    },
    proptest::prelude::*,
    std::collections::BTreeMap,
};

/// Era of a store that has not been restored since the start of a test.
const ERA: u32 = 1;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// One change of the store: the index of the object's name, and whether the
/// object is removed.
type Step = (usize, bool);

/// Returns the objects as changed by the steps, with revisions from 1.
fn history(steps: &[Step]) -> Vec<Object> {
    (1..)
        .zip(steps)
        .map(|(revision, (name, removed))| Object {
            name: NAMES[*name].into(),
            removed: *removed,
            revision,
            value: revision.to_string().into_bytes().into(),
        })
        .collect()
}

/// Returns the store's objects as of a revision.
fn objects(history: &[Object], revision: u64) -> BTreeMap<String, Object> {
    let mut objects = BTreeMap::new();

    for object in history.iter().filter(|object| object.revision <= revision) {
        if object.removed {
            objects.remove(&object.name);
        } else {
            objects.insert(object.name.clone(), object.clone());
        }
    }

    objects
}

/// Returns the store's response to a listing at a revision.
fn listing(history: &[Object], revision: u64) -> Changes {
    Changes {
        history_lost: false,
        objects: objects(history, revision).into_values().collect(),
        revision: Revision::new(ERA, revision),
        whole: true,
    }
}

/// Returns the changes after `from`, up to and including `to`.
fn watched(history: &[Object], from: u64, to: u64) -> Changes {
    let objects = history.iter();
    Changes {
        history_lost: false,
        objects: objects
            .filter(|object| object.revision > from && object.revision <= to)
            .cloned()
            .collect(),
        revision: Revision::new(ERA, to),
        whole: false,
    }
}

fn mirrored(mirror: &Mirror) -> BTreeMap<String, Object> {
    mirror
        .objects()
        .map(|object| (object.name.clone(), object.clone()))
        .collect()
}

proptest! {
    #![proptest_config(fuzz::config(256))]

    #[test]
    fn copy_converges_to_the_store_and_its_revision_never_decreases(
        steps in prop::collection::vec((0..NAMES.len(), any::<bool>()), 1..40),
        answers in prop::collection::vec((any::<bool>(), 0.0..1.0f64), 1..30),
    ) {
        let history = history(&steps);
        let last = history.len() as u64;
        let mut mirror = Mirror::default();
        mirror.apply(&listing(&history, 1));

        for (whole, share) in answers {
            let revision = 1 + (share * last as f64) as u64;
            let revision = revision.min(last);
            let before = mirror.revision().unwrap().number;
            // The response to an earlier request may arrive late.
            let changes = if whole {
                listing(&history, revision)
            } else {
                watched(&history, before.min(revision), revision)
            };
            mirror.apply(&changes);
            let now = mirror.revision().unwrap().number;
            prop_assert!(now >= before, "the revision went back from {before} to {now}");
            prop_assert_eq!(mirrored(&mirror), objects(&history, now));
        }

        let from = mirror.revision().unwrap().number;
        mirror.apply(&watched(&history, from, last));
        prop_assert_eq!(mirrored(&mirror), objects(&history, last));
    }

    #[test]
    fn follower_of_a_copy_converges_to_it(
        steps in prop::collection::vec((0..NAMES.len(), any::<bool>()), 2..40),
        first in 0.0..1.0f64,
        listed in any::<bool>(),
    ) {
        let history = history(&steps);
        let last = history.len() as u64;
        let middle = (1 + (first * last as f64) as u64).min(last);
        let mut reader = Mirror::default();
        reader.apply(&listing(&history, 1));
        reader.apply(&watched(&history, 1, middle));
        let mut follower = Mirror::default();
        follower.apply(&reader.since(Revision::default()));
        prop_assert_eq!(mirrored(&follower), mirrored(&reader));

        // After a new listing, the reader has no history of the changes.
        reader.apply(&if listed {
            listing(&history, last)
        } else {
            watched(&history, middle, last)
        });
        follower.apply(&reader.since(follower.revision().unwrap()));
        prop_assert_eq!(mirrored(&follower), objects(&history, last));
    }
}

fn object(name: &str, revision: u64, removed: bool) -> Object {
    Object {
        name: name.into(),
        removed,
        revision,
        value: Value::default(),
    }
}

fn changes(revision: u64, whole: bool, objects: &[Object]) -> Changes {
    Changes {
        history_lost: false,
        objects: objects.to_vec(),
        revision: Revision::new(ERA, revision),
        whole,
    }
}

/// The store may report a removal with the revision of the object's last
/// change. A removed endpoint must not stay listed, neither here nor at a
/// follower.
#[test]
fn removal_with_the_revision_of_the_last_change_is_applied() {
    let mut reader = Mirror::default();
    reader.apply(&changes(5, true, &[object("a", 5, false)]));
    let mut follower = Mirror::default();
    follower.apply(&reader.since(Revision::default()));
    let outcome = reader.apply(&changes(7, false, &[object("a", 5, true)]));
    assert!(outcome.is_change());
    assert!(mirrored(&reader).is_empty());
    follower.apply(&reader.since(Revision::new(ERA, 5)));
    assert!(mirrored(&follower).is_empty());
}

/// A response with a newer revision may contain an older version of an object,
/// which must not replace the newer one.
#[test]
fn older_object_in_a_newer_answer_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(&changes(5, true, &[object("a", 5, false)]));
    let outcome = mirror.apply(&changes(9, false, &[object("a", 4, false)]));
    assert!(!outcome.is_change());
    let outcome = mirror.apply(&changes(10, false, &[object("a", 4, true)]));
    assert!(!outcome.is_change());
    assert_eq!(mirrored(&mirror)["a"].revision, 5);
}

/// Guards against hosts that fall further behind the more versions of a large
/// configuration they miss, because a peer sends them every one of these.
#[test]
fn follower_receives_only_the_last_version_of_an_object() {
    let mut reader = Mirror::default();
    reader.apply(&changes(1, true, &[object("a", 1, false)]));

    for revision in 2..30 {
        reader.apply(&changes(revision, false, &[object("a", revision, false)]));
    }

    reader.apply(&changes(30, false, &[object("b", 30, false)]));
    let missed = reader.since(Revision::new(ERA, 1));
    assert_eq!(
        missed.objects,
        [object("a", 29, false), object("b", 30, false)]
    );
}

/// Guards against hosts that do not learn from others that an object was removed, since
/// the newest object that is left is older.
#[test]
fn newest_change_includes_removals() {
    let listed = [object("a", 3, false), object("b", 5, false)];
    let mut mirror = Mirror::default();
    mirror.apply(&changes(6, true, &listed));
    assert_eq!(mirror.newest_change(), 5);
    mirror.apply(&changes(9, false, &[]));
    assert_eq!(mirror.newest_change(), 5);
    // A removal may have the revision of the object's last change.
    mirror.apply(&changes(10, false, &[object("b", 5, true)]));
    assert_eq!(mirror.newest_change(), 10);
    mirror.apply(&changes(12, true, &[]));
    assert_eq!(mirror.newest_change(), 12);
}

/// Returns changes of a store that has been restored once.
fn restored(revision: u64, whole: bool, objects: &[Object]) -> Changes {
    Changes {
        revision: Revision::new(ERA + 1, revision),
        ..changes(revision, whole, objects)
    }
}

fn known_copy() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply(&changes(
        6,
        true,
        &[object("a", 5, false), object("b", 6, false)],
    ));
    mirror
}

/// Guards against a copy that ignores a restored store, whose revisions are lower.
#[test]
fn listing_of_a_later_era_replaces_the_copy() {
    let mut mirror = known_copy();
    let outcome = mirror.apply(&restored(4, true, &[object("a", 3, false)]));
    assert!(matches!(outcome, Outcome::Restored { .. }), "{outcome:?}");
    assert_eq!(mirrored(&mirror).len(), 1);
    assert_eq!(mirrored(&mirror)["a"].revision, 3);
    // The revisions that were given out again are followed.
    let outcome = mirror.apply(&restored(5, false, &[object("a", 5, false)]));
    assert!(outcome.is_change());
    assert_eq!(mirror.revision(), Some(Revision::new(ERA + 1, 5)));
}

/// Guards against a copy that mixes objects of two eras.
#[test]
fn changes_of_a_later_era_wait_for_its_listing() {
    let mut mirror = known_copy();
    let outcome = mirror.apply(&restored(7, false, &[object("a", 7, false)]));
    assert!(matches!(outcome, Outcome::Ignored), "{outcome:?}");
    assert_eq!(mirrored(&mirror)["a"].revision, 5);
}

/// Guards against a copy that returns to the state before a restore, which a host that
/// has not heard of it still sends.
#[test]
fn answers_of_an_earlier_era_are_ignored() {
    let mut mirror = known_copy();
    let earlier = known_copy();
    mirror.apply(&restored(4, true, &[object("a", 3, false)]));
    let from = mirror.revision().unwrap();
    assert!(!mirror.apply(&earlier.since(from)).is_change());
    assert!(
        !mirror
            .apply(&earlier.since(Revision::default()))
            .is_change()
    );
    assert_eq!(mirrored(&mirror)["a"].revision, 3);
}

/// Guards against a follower that keeps the state before a restore, because the revision
/// that it knows is not in the history of the reader's era.
#[test]
fn follower_receives_all_objects_of_a_later_era() {
    let mut follower = known_copy();
    let mut reader = known_copy();
    reader.apply(&restored(4, true, &[object("a", 3, false)]));
    reader.apply(&restored(9, false, &[object("c", 9, false)]));
    let missed = reader.since(follower.revision().unwrap());
    assert!(missed.whole);
    follower.apply(&missed);
    assert_eq!(mirrored(&follower), mirrored(&reader));
}

/// Guards against a copy that was listed from a lagging copy of the store right after a
/// restore, and so holds objects of the earlier era under the new one.
#[test]
fn current_listing_that_lacks_known_changes_replaces_the_copy() {
    let mut mirror = known_copy();
    let listing = changes(4, true, &[object("a", 3, false)]);
    assert!(!mirror.apply(&listing).is_change());
    let outcome = mirror.apply(&Changes {
        history_lost: true,
        ..listing
    });
    assert!(matches!(outcome, Outcome::Restored { .. }), "{outcome:?}");
    assert_eq!(mirrored(&mirror)["a"].revision, 3);
}
