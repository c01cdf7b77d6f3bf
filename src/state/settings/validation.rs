//! Validation of settings trees and drafts.

use crate::state::{
    fault::Fault,
    key,
    settings::change::Draft,
    settings::path::{self, PATH_SYNTAX, Subtree},
    settings::tree::Tree,
};

/// Maximum size of the tree in bytes. The snapshot must fit into one object of
/// the object API, which is limited to 1 MB, together with the operation ids of
/// 1,000 changes.
const MAX_TREE_BYTES: usize = 800_000;

/// JSON overhead in bytes of a value on a path of its own.
const VALUE_OVERHEAD_BYTES: usize = 12;

/// JSON overhead of an edit in bytes, not counting the value that it replaces.
const EDIT_OVERHEAD_BYTES: usize = 48;

/// Maximum size of a change in bytes. It must fit into one object of the object
/// API as well.
const MAX_CHANGE_BYTES: usize = 400_000;

/// Maximum length of an author's name in bytes.
const MAX_AUTHOR_BYTES: usize = 128;

impl Tree {
    /// Returns all faults of the tree.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = self
            .values()
            .filter_map(|(path, key, value)| check_value(path, key, Some(value)))
            .collect::<Vec<Fault>>();
        faults.extend(self.check_references());
        faults
    }

    /// Returns all faults of a draft, including those of the tree that would
    /// result from it.
    pub fn check_draft(&self, draft: &Draft) -> Vec<Fault> {
        let mut faults = check_draft_fields(draft);
        let mut target = self.clone();

        for edit in &draft.edits {
            faults.extend(check_value(&edit.path, &edit.key, edit.new.as_deref()));
            target.set(&edit.path, &edit.key, edit.new.as_deref());
        }

        faults.extend(target.check_references());
        faults
    }

    fn check_references(&self) -> Vec<Fault> {
        let mut faults = Vec::new();

        for pool in self.children(Subtree::Pools.name()) {
            let path = format!("pools/{pool}");

            if self.resolve(&path, "kind").is_none() {
                faults.push(Fault::new(&path, "kind", "", expected("kind")));
            }
        }

        for pipeline in self.children(Subtree::Pipelines.name()) {
            self.check_pipeline(&format!("pipelines/{pipeline}"), &mut faults);
        }

        let bytes = self
            .values()
            .map(|(path, key, value)| path.len() + key.len() + value.len() + VALUE_OVERHEAD_BYTES)
            .sum::<usize>();

        if bytes > MAX_TREE_BYTES {
            let expected = format!(
                "at most {MAX_TREE_BYTES} bytes, {VALUE_OVERHEAD_BYTES} more for each value"
            );
            faults.push(Fault::new("", "size", &bytes.to_string(), expected));
        }

        faults
    }

    fn check_pipeline(&self, path: &str, faults: &mut Vec<Fault>) {
        let Some(value) = self.get(path, "stages") else {
            faults.push(Fault::new(path, "stages", "", expected("stages")));
            return;
        };
        let stages = key::names(value).collect::<Vec<&str>>();

        for stage in self.children(path) {
            if !stages.contains(&stage) {
                let expected = format!("a stage of the pipeline: {}", stages.join(", "));
                faults.push(Fault::new(&format!("{path}/{stage}"), "", stage, expected));
            }
        }

        let pools = self.children(Subtree::Pools.name());

        for stage in stages {
            let path = format!("{path}/{stage}");
            let pool = self
                .resolve(&path, "pool")
                .map_or(stage, |resolved| resolved.value);

            if !pools.contains(pool) {
                let expected = match pools.iter().copied().collect::<Vec<_>>().as_slice() {
                    [] => "a pool under pools, which has none".into(),
                    pools => format!("a pool under pools: {}", pools.join(", ")),
                };
                faults.push(Fault::new(&path, "pool", pool, expected));
            }
        }
    }
}

fn check_draft_fields(draft: &Draft) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut check = |field: &str, value: &str, valid: bool, expected: String| {
        if !valid {
            faults.push(Fault {
                field: field.into(),
                value: value.into(),
                expected,
            });
        }
    };
    let (operation, author) = (&draft.operation, &draft.author);
    let expected = "1 to 64 letters, digits, '-', '_' and '.'".into();
    check("operation", operation, path::is_name(operation), expected);
    let valid = (1..=MAX_AUTHOR_BYTES).contains(&author.len());
    check(
        "author",
        author,
        valid,
        format!("1 to {MAX_AUTHOR_BYTES} bytes"),
    );

    let bytes = draft
        .edits
        .iter()
        .map(|edit| {
            let value = edit.new.as_ref().map_or(0, String::len);
            edit.path.len() + edit.key.len() + value + EDIT_OVERHEAD_BYTES
        })
        .sum::<usize>();

    if draft.edits.is_empty() || bytes > MAX_CHANGE_BYTES {
        faults.push(Fault {
            field: "edits".into(),
            value: format!("{} edits of {bytes} bytes", draft.edits.len()),
            expected: format!("at least 1 edit and at most {MAX_CHANGE_BYTES} bytes"),
        });
    }

    for (index, edit) in draft.edits.iter().enumerate() {
        if draft.edits[..index]
            .iter()
            .any(|other| other.path == edit.path && other.key == edit.key)
        {
            let value = edit.new.as_deref().unwrap_or_default();
            faults.push(Fault::new(
                &edit.path,
                &edit.key,
                value,
                "one edit of each key",
            ));
        }
    }

    faults
}

fn check_value(path: &str, name: &str, value: Option<&str>) -> Option<Fault> {
    let shown = value.unwrap_or_default();

    if path::subtree(path).is_none() {
        return Some(Fault::new(path, name, path, PATH_SYNTAX));
    }

    // A key that this version does not define may still be unset.
    let value = value?;

    let Some(key) = key::find(name) else {
        let expected = format!("a known key; the nearest is {:?}", key::nearest(name).name);
        return Some(Fault::new(path, name, shown, expected));
    };

    if !key.allowed_at(path) {
        let expected = format!("this key only on {}", key.paths());
        return Some(Fault::new(path, name, shown, expected));
    }

    (!key.accepts(value)).then(|| Fault::new(path, name, shown, key.expected()))
}

fn expected(name: &str) -> String {
    key::find(name).map_or_else(String::new, key::Key::expected)
}
