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

/// Parses and validates a tree.
///
/// # Errors
///
/// Returns every fault that the file has.
pub fn parse(text: &str) -> Result<Tree, Vec<Fault>> {
    let options = ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    };
    let mut faults = check_sections(text);
    let (lines, malformed): (Vec<_>, Vec<_>) = text
        .lines()
        .enumerate()
        .partition(|(_, line)| is_well_formed(line));
    faults.extend(
        malformed
            .into_iter()
            .map(|(index, line)| syntax_fault(index, line)),
    );
    let lines = lines.into_iter().map(|(_, line)| line).collect::<Vec<_>>();
    let ini = Ini::load_from_str_opt(&lines.join("\n"), options).map_err(|error| {
        let line = lines.get(error.line).copied().unwrap_or_default();
        vec![syntax_fault(error.line, line)]
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

/// Formats a tree.
///
/// # Panics
///
/// Never panics: writing into memory does not fail, and all values are UTF-8.
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
        .expect("writing into memory does not fail");
    String::from_utf8(bytes).expect("all values are UTF-8")
}

/// Returns a fault for each repeated section, because the parser joins
/// sections of the same name.
fn check_sections(text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();

    for path in text.lines().filter_map(section_path) {
        if !seen.insert(path) {
            faults.push(Fault::new(path, "", path, "each section once"));
        }
    }

    faults
}

fn is_well_formed(line: &str) -> bool {
    let line = line.trim();
    line.is_empty()
        || line.starts_with(['#', ';'])
        || section_path(line).is_some()
        || line
            .split_once(['=', ':'])
            .is_some_and(|(key, _)| !key.trim().is_empty())
}

fn syntax_fault(index: usize, line: &str) -> Fault {
    Fault {
        field: format!("line {}", index + 1),
        value: line.into(),
        expected: "[PATH], KEY = VALUE or a comment".into(),
    }
}

fn section_path(line: &str) -> Option<&str> {
    let (path, _) = line.trim().strip_prefix('[')?.split_once(']')?;
    Some(path.trim())
}
