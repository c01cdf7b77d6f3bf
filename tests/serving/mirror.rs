//! A host's copy of the store must never go back, whatever the order in which
//! the store and peers answer, and must end up as the store is.

use {
    crate::fuzz,
    persimmoncleat::state::serving::mirror::{Changes, Mirror, Object},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// One change of the store: which name, and whether it is removed.
type Step = (usize, bool);

fn history(steps: &[Step]) -> Vec<Object> {
    (1..)
        .zip(steps)
        .map(|(revision, (name, removed))| Object {
            name: NAMES[*name].into(),
            removed: *removed,
            revision,
            value: revision.to_string().into_bytes(),
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

fn listing(history: &[Object], revision: u64) -> Changes {
    Changes {
        objects: objects(history, revision).into_values().collect(),
        revision,
        whole: true,
    }
}

fn watched(history: &[Object], from: u64, to: u64) -> Changes {
    let objects = history.iter();
    Changes {
        objects: objects
            .filter(|object| object.revision > from && object.revision <= to)
            .cloned()
            .collect(),
        revision: to,
        whole: false,
    }
}

fn held(mirror: &Mirror) -> BTreeMap<String, Object> {
    mirror
        .objects()
        .map(|object| (object.name.clone(), object.clone()))
        .collect()
}

proptest! {
    #![proptest_config(fuzz::config(256))]

    #[test]
    fn copy_follows_the_store_and_never_goes_back(
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
            let before = mirror.revision().unwrap();
            // An answer that was asked for earlier may arrive late.
            let changes = if whole {
                listing(&history, revision)
            } else {
                watched(&history, before.min(revision), revision)
            };
            mirror.apply(&changes);
            let now = mirror.revision().unwrap();
            prop_assert!(now >= before, "went back from {before} to {now}");
            prop_assert_eq!(held(&mirror), objects(&history, now));
        }

        let from = mirror.revision().unwrap();
        mirror.apply(&watched(&history, from, last));
        prop_assert_eq!(held(&mirror), objects(&history, last));
    }

    #[test]
    fn peer_that_follows_a_copy_becomes_equal(
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
        follower.apply(&reader.since(0));
        prop_assert_eq!(held(&follower), held(&reader));

        // The reader may have listed the store anew, without its history.
        reader.apply(&if listed {
            listing(&history, last)
        } else {
            watched(&history, middle, last)
        });
        follower.apply(&reader.since(follower.revision().unwrap()));
        prop_assert_eq!(held(&follower), objects(&history, last));
    }
}

fn object(name: &str, revision: u64, removed: bool) -> Object {
    Object {
        name: name.into(),
        removed,
        revision,
        value: Vec::new(),
    }
}

fn changes(revision: u64, whole: bool, objects: &[Object]) -> Changes {
    Changes {
        objects: objects.to_vec(),
        revision,
        whole,
    }
}

/// A store may name the last change of an object in the news of its removal.
/// An endpoint that is gone must not stay in the list, here or at a follower.
#[test]
fn removal_may_bear_the_revision_of_the_last_change() {
    let mut reader = Mirror::default();
    reader.apply(&changes(5, true, &[object("a", 5, false)]));
    let mut follower = Mirror::default();
    follower.apply(&reader.since(0));
    assert!(reader.apply(&changes(7, false, &[object("a", 5, true)])));
    assert!(held(&reader).is_empty());
    follower.apply(&reader.since(5));
    assert!(held(&follower).is_empty());
}

/// An object that is older than the one known must not come back inside an
/// answer that is newer as a whole.
#[test]
fn older_object_in_a_newer_answer_is_passed_over() {
    let mut mirror = Mirror::default();
    mirror.apply(&changes(5, true, &[object("a", 5, false)]));
    assert!(!mirror.apply(&changes(9, false, &[object("a", 4, false)])));
    assert!(!mirror.apply(&changes(10, false, &[object("a", 4, true)])));
    assert_eq!(held(&mirror)["a"].revision, 5);
}
