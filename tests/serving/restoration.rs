//! The endpoints of a host whose store was restored from a copy. The copy is from before
//! the last changes, which come again within some seconds, or not at all.

use {
    persimmoncleat::state::{
        clock::Time,
        serving::{
            cold::Cold,
            restoration::{RETURN_TIME, Restoration},
            roster::{Entry, Roster},
        },
    },
    std::time::Duration,
};

/// When an endpoint was removed, shortly before the restore.
const BEFORE: Time = Time::from_millis(99_900);

const NOW: Time = Time::from_millis(100_000);

const MOMENT: Duration = Duration::from_millis(100);

fn entry(name: &str, incarnation: u64) -> Entry {
    Entry {
        address: "127.0.0.1:1".parse().unwrap(),
        cold: Cold::default(),
        domain: "d".into(),
        endpoint: name.into(),
        incarnation,
        leaving: false,
        service: "s".into(),
        slots: 1,
    }
}

/// Returns the state after a restore: `a` was listed, `gone` was removed.
fn restored() -> Restoration {
    let earlier = Roster::new([entry("a", 2), entry("gone", 1)]);
    let listed = Roster::new([entry("a", 2)]);
    let mut restoration = Restoration::default();
    restoration.record_removals(BEFORE, &earlier, &listed);
    restoration.begin(NOW, &listed);
    restoration
}

/// Returns the names of the endpoints in the list, those that get requests with their
/// incarnations.
fn open(restoration: &mut Restoration, now: Time, copy: &[Entry]) -> Vec<(String, u64)> {
    let entries = restoration.complete(now, copy.to_vec());
    let open = entries.iter().filter(|entry| !entry.leaving);
    open.map(|entry| (entry.endpoint.as_str().to_owned(), entry.incarnation))
        .collect()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $copy:expr, after $passed:expr => $open:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut restoration = restored();
                let expected: Vec<(String, u64)> = $open
                    .into_iter()
                    .map(|(name, incarnation): (&str, u64)| (name.to_owned(), incarnation))
                    .collect();
                assert_eq!(open(&mut restoration, NOW + $passed, &$copy), expected);
            }
        )*
    };
}

cases! {
    /// Guards against a service without endpoints, until they write their entries again.
    missing_endpoint_is_kept: [], after MOMENT => [("a", 2)];

    /// Guards against requests to an endpoint that does not write its entry again.
    missing_endpoint_is_kept_no_longer_than_it_may_take_to_write: [], after RETURN_TIME => [];

    /// Guards against requests for an earlier process of an endpoint.
    earlier_incarnation_in_the_copy_is_replaced: [entry("a", 1)], after MOMENT => [("a", 2)];

    /// Guards against an endpoint that started anew and is not used.
    later_incarnation_in_the_copy_is_used: [entry("a", 3)], after MOMENT => [("a", 3)];

    /// Guards against requests to an endpoint that was known to be gone.
    removed_endpoint_in_the_copy_is_closed:
        [entry("a", 2), entry("gone", 1)], after MOMENT => [("a", 2)];

    /// Guards against an endpoint that is closed for the reason that an earlier process
    /// of it was removed.
    next_incarnation_of_a_removed_endpoint_is_open:
        [entry("a", 2), entry("gone", 2)], after MOMENT => [("a", 2), ("gone", 2)];

    /// Guards against an endpoint that is alive, does not change its entry and is never
    /// used again.
    removed_endpoint_that_stays_in_the_store_opens:
        [entry("a", 2), entry("gone", 1)], after Duration::from_secs(10)
        => [("a", 2), ("gone", 1)];
}

/// Guards against an endpoint that has written its entry and stays closed.
#[test]
fn removed_endpoint_opens_when_it_writes_its_entry() {
    let mut restoration = restored();
    let copy = [entry("a", 2), entry("gone", 1)];
    assert_eq!(open(&mut restoration, NOW, &copy).len(), 1);
    restoration.record_written(&"gone".into());
    assert_eq!(open(&mut restoration, NOW + MOMENT, &copy).len(), 2);
}

/// Guards against requests to an endpoint that the restored store itself has removed.
#[test]
fn endpoint_that_the_restored_store_removes_is_not_kept() {
    let mut restoration = restored();
    assert_eq!(open(&mut restoration, NOW, &[entry("a", 2)]).len(), 1);
    assert_eq!(open(&mut restoration, NOW + MOMENT, &[]), []);
}

/// Guards against entries that are kept until the next change of any entry, which may
/// be minutes later.
#[test]
fn list_is_due_when_a_time_ends() {
    let mut restoration = restored();
    assert!(!restoration.is_due(NOW + MOMENT));
    assert!(restoration.is_due(NOW + RETURN_TIME));
    restoration.complete(NOW + RETURN_TIME, Vec::new());
    assert!(!restoration.is_due(NOW + RETURN_TIME));
    assert!(restoration.is_due(NOW + Duration::from_secs(10)));
}
