//! Formats the difference between two settings trees.

use {persimmoncleat::state::settings::edit::Edit, std::fmt::Write};

/// Formats edits as removed and added lines, grouped by path.
pub fn diff(edits: &[Edit]) -> String {
    let mut text = String::new();
    let mut path = "";

    for edit in edits {
        if edit.path != path {
            path = &edit.path;
            let _ = writeln!(text, "[{path}]");
        }

        for (sign, value) in [('-', &edit.old), ('+', &edit.new)] {
            if let Some(value) = value {
                let _ = writeln!(text, "{sign} {} = {value}", edit.key);
            }
        }
    }

    text
}
