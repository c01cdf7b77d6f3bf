//! The settings tree as an INI file: a section is a path, its entries are the
//! keys set there.

use {
    crate::state::{
        fault::Fault,
        settings::path::{self, PATH_SYNTAX},
        settings::tree::Tree,
    },
    ini::{EscapePolicy, Ini, ParseOption, WriteOption},
    std::collections::BTreeSet,
};

/// Reads a tree and checks it.
///
/// # Errors
///
/// Fails with everything that is wrong with the file.
pub fn parse(text: &str) -> Result<Tree, Vec<Fault>> {
    let options = ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    };
    let mut faults = check_sections(text);
    let (lines, wrong): (Vec<_>, Vec<_>) = text
        .lines()
        .enumerate()
        .partition(|(_, line)| is_entry(line));
    faults.extend(wrong.into_iter().map(|(index, line)| syntax(index, line)));
    let lines = lines.into_iter().map(|(_, line)| line).collect::<Vec<_>>();
    let ini = Ini::load_from_str_opt(&lines.join("\n"), options).map_err(|error| {
        let line = lines.get(error.line).copied().unwrap_or_default();
        vec![syntax(error.line, line)]
    })?;
    let mut tree = Tree::default();

    for (section, entries) in &ini {
        let path = section.unwrap_or_default();

        if section.is_some() && entries.is_empty() && path::subtree(path).is_none() {
            faults.push(Fault::new(path, "", path, PATH_SYNTAX));
        }

        for (key, value) in entries {
            if tree.get(path, key).is_some() {
                faults.push(Fault::new(path, key, value, "each key once in a section"));
            }

            tree.set(path, key, Some(value));
        }
    }

    faults.extend(tree.check());

    if faults.is_empty() {
        Ok(tree)
    } else {
        Err(faults)
    }
}

/// Writes a tree.
///
/// # Panics
///
/// Never: writing into memory does not fail, and values are text.
pub fn format(tree: &Tree) -> String {
    let mut ini = Ini::new();

    for (path, key, value) in tree.values() {
        ini.with_section(Some(path)).set(key, value);
    }

    let options = WriteOption {
        escape_policy: EscapePolicy::Nothing,
        kv_separator: " = ",
        ..WriteOption::default()
    };
    let mut bytes = Vec::new();
    ini.write_to_opt(&mut bytes, options)
        .expect("memory takes every write");
    String::from_utf8(bytes).expect("settings are text")
}

/// Checks the section lines, because the parser joins sections of one name.
fn check_sections(text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();

    for path in text.lines().filter_map(section) {
        if !seen.insert(path) {
            faults.push(Fault::new(path, "", path, "each section once"));
        }
    }

    faults
}

fn is_entry(line: &str) -> bool {
    let line = line.trim();
    line.is_empty()
        || line.starts_with(['#', ';'])
        || section(line).is_some()
        || line
            .split_once(['=', ':'])
            .is_some_and(|(key, _)| !key.trim().is_empty())
}

fn syntax(index: usize, line: &str) -> Fault {
    Fault {
        field: format!("line {}", index + 1),
        value: line.into(),
        expected: "[PATH], KEY = VALUE or a comment".into(),
    }
}

fn section(line: &str) -> Option<&str> {
    let (path, _) = line.trim().strip_prefix('[')?.split_once(']')?;
    Some(path.trim())
}
