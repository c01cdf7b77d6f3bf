//! The difference between two settings trees.

use {persimmoncleat::state::settings::edit::Edit, std::fmt::Write};

/// Writes what the edits remove and add, by path.
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
