//! Tests of the settings tree: parsing, inheritance, validation, edits and the
//! policy that results from it.

use {
    persimmoncleat::{
        protocol::tree_file,
        state::{
            fault::Fault,
            policy::Policy,
            pool::Kind,
            settings::change::{Draft, Outcome},
            settings::edit::{DraftEdit, Edit},
            settings::tree::Tree,
        },
    },
    std::time::Duration,
};

const FILE: &str = "\
[pipelines/almanac]
deadline=7000
stages=draft, check

[pipelines/almanac/draft]
pool=engines

[pools/check]
kind=service

[pools/engines]
concurrency_limit=16
kind=engine

[teams]
deadline=6000

[teams/hvarfdal]
weight=300

[teams/hvarfdal/volume]
deadline=9000
priority=2
";

fn tree() -> Tree {
    tree_file::parse(FILE).unwrap()
}

fn messages(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(Fault::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

fn draft(edits: &[(&str, &str, Option<&str>)]) -> Draft {
    Draft {
        operation: "op".into(),
        author: "test".into(),
        edits: edits
            .iter()
            .map(|&(path, key, new)| DraftEdit {
                path: path.into(),
                key: key.into(),
                old: None,
                new: new.map(Into::into),
            })
            .collect(),
    }
}

macro_rules! faults {
    ($($name:ident: $text:expr, @$expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let faults = tree_file::parse($text).unwrap_err();
                insta::assert_snapshot!(messages(&faults), @$expected);
            }
        )*
    };
}

faults! {
    duplicate_key_is_refused: "[pools/a]\nkind=pool\nkind=engine\n", @r#"[pools/a] kind: "engine", expected each key once in a section"#;
    duplicate_section_is_refused: "[pools/a]\nkind=pool\n[pools/a]\nhedge=on\n", @r#"[pools/a]: "pools/a", expected each section once"#;
    empty_section_with_an_unknown_path_is_refused: "[team/a]\n", @r#"[team/a]: "team/a", expected teams[/TEAM[/CLASS]], pipelines[/PIPELINE[/STAGE]] or pools[/POOL]"#;
    entry_without_section_is_refused: "kind=pool\n", @r#"[] kind: "", expected teams[/TEAM[/CLASS]], pipelines[/PIPELINE[/STAGE]] or pools[/POOL]"#;
    all_errors_are_reported_together:
        "[teams/a]\nprioritty=5\nweight=0\nkind=pool\n[pools/p]\nhedge=maybe\n", @r#"
    [pools/p] hedge: "maybe", expected one of on, off
    [teams/a] kind: "pool", expected this key only on pools, pools/POOL
    [teams/a] prioritty: "5", expected a known key; the nearest is "priority"
    [teams/a] weight: "0", expected a whole number from 1 to 1000
    [pools/p] kind: "", expected one of engine, pool, service
    "#;
    line_without_value_is_refused: "[pools/a]\nkind\nhedge=x\n[\n=3\n", @r#"
    line 2: "kind", expected [PATH], KEY = VALUE or a comment
    line 4: "[", expected [PATH], KEY = VALUE or a comment
    line 5: "=3", expected [PATH], KEY = VALUE or a comment
    [pools/a] hedge: "x", expected one of on, off
    [pools/a] kind: "", expected one of engine, pool, service
    "#;
    pipeline_without_stages_is_refused: "[pipelines/p]\ndeadline=5\n", @r#"[pipelines/p] stages: "", expected 1 to 8 different names, separated by commas"#;
    pipeline_with_nine_stages_is_refused:
        "[pipelines/p]\nstages=a,b,c,d,e,f,g,h,i\npool=x\n[pools/x]\nkind=pool\n", @r#"[pipelines/p] stages: "a,b,c,d,e,f,g,h,i", expected 1 to 8 different names, separated by commas"#;
    stage_without_an_existing_pool_is_refused:
        "[pipelines/p]\nstages=a\n[pools/x]\nkind=pool\n", @r#"[pipelines/p/a] pool: "a", expected a pool under pools: x"#;
    section_of_an_unlisted_stage_is_refused:
        "[pipelines/p]\nstages=x\n[pipelines/p/y]\npool=x\n[pools/x]\nkind=pool\n", @r#"[pipelines/p/y]: "y", expected a stage of the pipeline: x"#;
}

#[test]
fn formatted_file_parses_to_the_same_tree() {
    assert_eq!(
        tree_file::parse(&tree_file::format(&tree())).unwrap(),
        tree()
    );
}

macro_rules! resolves {
    ($($name:ident: $path:expr, $key:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let tree = tree();
                let resolved = tree.resolve($path, $key).map(|found| (found.value, found.source));
                assert_eq!(resolved, $expected);
            }
        )*
    };
}

resolves! {
    class_overrides_root: "teams/hvarfdal/volume", "deadline" => Some(("9000", "teams/hvarfdal/volume"));
    unset_key_has_no_value: "teams/hvarfdal/volume", "rate" => None;
    unknown_class_inherits_from_team: "teams/hvarfdal/notes", "weight" => Some(("300", "teams/hvarfdal"));
    unknown_team_inherits_from_root: "teams/other/notes", "deadline" => Some(("6000", "teams"));
}

#[test]
fn rows_show_sources_and_defaults() {
    let rows = tree()
        .rows("teams/hvarfdal")
        .into_iter()
        .map(|row| format!("{} {}={} from {}", row.path, row.key, row.value, row.source))
        .collect::<Vec<_>>()
        .join("\n");
    insta::assert_snapshot!(rows, @r#"
    teams/hvarfdal concurrency=0 from default
    teams/hvarfdal deadline=6000 from teams
    teams/hvarfdal priority=5 from default
    teams/hvarfdal queue_time=4000 from default
    teams/hvarfdal rate=0 from default
    teams/hvarfdal share=0 from default
    teams/hvarfdal weight=300 from teams/hvarfdal
    teams/hvarfdal/volume deadline=9000 from teams/hvarfdal/volume
    teams/hvarfdal/volume priority=2 from teams/hvarfdal/volume
    "#);
}

#[test]
fn policy_holds_inherited_values() {
    let policy = Policy::new(3, &tree());
    let volume = policy.class(&"hvarfdal".into(), &"volume".into()).unwrap();
    let notes = policy.class(&"hvarfdal".into(), &"notes".into()).unwrap();
    let pipeline = &policy.pipelines["almanac"];

    assert_eq!(policy.version, 3);
    assert_eq!(
        (volume.deadline, volume.weight),
        (Duration::from_secs(9), 300)
    );
    assert_eq!(notes.deadline, Duration::from_secs(6));
    assert_eq!(pipeline.deadline, Some(Duration::from_secs(7)));
    assert_eq!(pipeline.stages[0].pool, "engines".into());
    assert_eq!(pipeline.stages[1].pool, "check".into());
    assert_eq!(policy.pools["engines"].kind, Kind::Engine);
    assert_eq!(policy.pools["engines"].concurrency_limit, 16);
}

#[test]
fn updated_policy_equals_a_rebuilt_one() {
    let cases: [&[(&str, &str, Option<&str>)]; 4] = [
        &[("teams", "deadline", Some("1"))],
        &[("teams/hvarfdal/volume", "priority", None)],
        &[("teams/new/class", "rate", Some("3"))],
        &[
            ("teams/hvarfdal", "weight", None),
            ("teams/hvarfdal/volume", "deadline", None),
            ("teams/hvarfdal/volume", "priority", None),
            ("pools/check", "hedge", Some("off")),
        ],
    ];

    for case in cases {
        let mut tree = tree();
        let policy = Policy::new(1, &tree);
        let edits = draft(case).edits(1, &tree).unwrap();
        tree.apply(&edits);
        let paths = edits.iter().map(|edit| edit.path.as_str());

        assert_eq!(policy.updated(2, &tree, paths), Policy::new(2, &tree));
    }
}

#[test]
fn applying_a_difference_yields_its_target() {
    let mut target = tree();
    target.set("teams", "deadline", None);
    target.set("pools/check", "hedge", Some("off"));
    let mut start = tree();
    let edits = start.difference(&target);

    assert_eq!(
        edits,
        [
            Edit {
                path: "pools/check".into(),
                key: "hedge".into(),
                old: None,
                new: Some("off".into()),
            },
            Edit {
                path: "teams".into(),
                key: "deadline".into(),
                old: Some("6000".into()),
                new: None,
            }
        ]
    );
    start.apply(&edits);
    assert_eq!(start, target);
}

#[test]
fn removing_a_pool_in_use_is_refused() {
    let edits = [("pools/check", "kind", None)];
    let Err(Outcome::Invalid(faults)) = draft(&edits).edits(1, &tree()) else {
        panic!("the draft was accepted");
    };
    insta::assert_snapshot!(messages(&faults), @r#"[pipelines/almanac/check] pool: "check", expected a pool under pools: engines"#);
}

#[test]
fn edit_with_an_outdated_old_value_is_a_conflict() {
    let mut draft = draft(&[("teams", "deadline", Some("1"))]);
    draft.edits[0].old = Some(None);
    let Err(Outcome::Conflict(conflict)) = draft.edits(4, &tree()) else {
        panic!("the draft was accepted");
    };
    assert_eq!(conflict.yours.as_deref(), Some("1"));
    assert_eq!(conflict.theirs.as_deref(), Some("6000"));
    assert_eq!(conflict.version, 4);
}

#[test]
fn draft_labels_and_sizes_are_checked() {
    let mut empty = draft(&[]);
    empty.operation = "a \"quoted\" id".into();
    empty.author = String::new();
    insta::assert_snapshot!(messages(&tree().check_draft(&empty)), @r#"
    operation: "a \"quoted\" id", expected 1 to 64 letters, digits, '-', '_' and '.'
    author: "", expected 1 to 128 bytes
    edits: "0 edits of 0 bytes", expected at least 1 edit and at most 400000 bytes
    "#);

    // A snapshot of the tree has to fit into one object of 1 MB.
    let mut tree = tree();
    for number in 0..24_500 {
        tree.set(&format!("teams/team-{number:05}"), "rate", Some("1"));
    }
    assert!(messages(&tree.check()).contains("at most 800000 bytes"));
    assert!(serde_json::to_vec(&tree).unwrap().len() < 850_000);
}
