//! Measures the cost of applying a change of the settings.

use {
    crate::meter::{measure_bytes, measure_cpu, micros_per, to_f64},
    persimmoncleat::state::{
        policy::Policy, settings::change::Change, settings::edit::Edit,
        settings::snapshot::Snapshot, settings::tree::Tree,
    },
};

/// Number of changes of a measurement.
const CHANGES: usize = 200;

fn tree(teams: usize) -> Tree {
    let mut tree = Tree::default();

    for pool in ["check", "draft", "encode", "rerank", "retrieve"] {
        tree.set(&format!("pools/{pool}"), "kind", Some("pool"));
    }

    tree.set(
        "pipelines/almanac",
        "stages",
        Some("encode,retrieve,rerank,draft,check"),
    );

    for team in 0..teams {
        let path = format!("teams/team-{team:05}");
        tree.set(&path, "key_sha256", Some(&"0f".repeat(32)));
        tree.set(&path, "weight", Some("150"));
        tree.set(&format!("{path}/urgent"), "priority", Some("9"));
        tree.set(&format!("{path}/volume"), "share", Some("20"));
    }

    tree
}

fn edit(index: usize, teams: usize) -> Edit {
    let value = |number: usize| Some((100 + number % 900).to_string());

    Edit {
        path: format!("teams/team-{:05}", index * 7 % teams),
        key: "weight".into(),
        old: value(index),
        new: value(index + 1),
    }
}

/// Prints the cost of a change for several numbers of teams.
pub fn print(sizes: &[usize]) {
    println!("settings, per host");
    println!(
        "{:>6} {:>10} {:>10} {:>12} {:>14}",
        "teams", "us/change", "KB", "change bytes", "snapshot bytes"
    );

    for teams in sizes {
        let ((mut tree, mut policy), bytes) = measure_bytes(|| {
            let tree = tree(*teams);
            let policy = Policy::new(1, &tree);
            (tree, policy)
        });
        let ((), time) = measure_cpu(|| {
            for (index, version) in (0..CHANGES).zip(2..) {
                let edit = edit(index, *teams);
                tree.apply(std::slice::from_ref(&edit));
                policy = policy.updated(version, &tree, [edit.path.as_str()].into_iter());
            }
        });
        let change = Change {
            version: 64_000,
            operation: "0f".repeat(16),
            author: "operator".into(),
            edits: vec![edit(1, *teams)],
        };
        let snapshot = Snapshot {
            version: 64_000,
            tree,
            operations: (0..1000u64)
                .map(|version| (version, "0f".repeat(16)))
                .collect(),
        };

        println!(
            "{teams:>6} {:>10.0} {:>10} {:>12} {:>14}",
            micros_per(time, to_f64(CHANGES)),
            bytes / 1000,
            json_bytes(&change),
            json_bytes(&snapshot),
        );
    }

    println!();
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
