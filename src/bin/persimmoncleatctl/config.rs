//! Commands for the settings tree.

use {
    crate::{
        change::{self, Author},
        diff::diff,
        failure::Failure,
        operator::Operator,
        table::{cell, table},
    },
    persimmoncleat::{
        protocol::tree_file,
        state::{
            key,
            settings::edit::Edit,
            settings::path,
            settings::tree::{Row, Tree},
        },
    },
    serde_json::{Value, json},
    std::{fs, path::Path},
};

const PATH: &str = "/v1/admin/settings";

/// Checks a file without contacting a host.
///
/// # Errors
///
/// Fails with every fault of the file.
pub fn check(file: &Path, json: bool) -> Result<(), Failure> {
    let checked = tree_file::parse(&read(file)?);

    if json {
        let errors = checked.as_ref().err().cloned().unwrap_or_default();
        println!("{}", json!({ "errors": errors }));
    }

    let tree = checked.map_err(|faults| Failure::faults(&faults))?;

    if !json {
        println!(
            "{}: {} values, no errors",
            file.display(),
            tree.values().count()
        );
    }

    Ok(())
}

/// Prints the differences of a file from the tree in force and submits them as
/// one change.
///
/// # Errors
///
/// Fails if the file is not valid or the change is refused.
pub fn apply(
    operator: &Operator,
    file: &Path,
    author: Author,
    dry_run: bool,
    remove: bool,
    json: bool,
) -> Result<(), Failure> {
    let target = tree_file::parse(&read(file)?).map_err(|faults| Failure::faults(&faults))?;
    let edits = tree(operator)?.difference(&target);

    if json && (dry_run || edits.is_empty()) {
        println!("{}", json!({ "edits": edits }));
    } else if !json && edits.is_empty() {
        println!("no changes");
    } else if !json {
        print!("{}", diff(&edits));
    }

    let removed = edits.iter().filter(|edit| edit.new.is_none()).count();

    if dry_run || edits.is_empty() {
        return Ok(());
    }

    if removed > 0 && !remove {
        return Err(Failure::usage(format!(
            "{removed} values in force are not in the file; add --remove to unset them"
        )));
    }

    change::submit(operator, author, edits, json)
}

/// Prints the values in force on a path and those set below it.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn get(operator: &Operator, path: &str, explain: bool, json: bool) -> Result<(), Failure> {
    if path::subtree(path).is_none() {
        let expected = path::PATH_SYNTAX;
        return Err(Failure::usage(format!(
            "PATH is {path:?}, expected {expected}"
        )));
    }

    let answer = operator.get(&format!("{PATH}?path={path}"))?;

    if json {
        println!("{answer}");
        return Ok(());
    }

    let mut headings = vec!["PATH", "KEY", "VALUE", "UNIT"];

    if explain {
        headings.push("SOURCE");
    }

    let rows = rows(&answer)?
        .into_iter()
        .map(|row| {
            let unit = key::find(&row.key).map_or("", |key| key.unit);
            let mut cells = vec![row.path, row.key, row.value, unit.into()];
            if explain {
                cells.push(row.source);
            }
            cells
        })
        .collect::<Vec<_>>();
    print!("{}", table(&headings, &rows));
    Ok(())
}

/// Sets one value.
///
/// # Errors
///
/// Fails if the change is refused.
pub fn set(
    operator: &Operator,
    (path, key, value): (String, String, String),
    author: Author,
    json: bool,
) -> Result<(), Failure> {
    let old = tree(operator)?.get(&path, &key).map(Into::into);
    let edit = Edit {
        path,
        key,
        old,
        new: Some(value),
    };
    change::submit(operator, author, vec![edit], json)
}

/// Prints the whole tree as a file for `config apply`.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn export(operator: &Operator) -> Result<(), Failure> {
    print!("{}", tree_file::format(&tree(operator)?));
    Ok(())
}

/// Prints the latest changes.
///
/// # Errors
///
/// Fails if the host does not answer.
pub fn history(operator: &Operator, limit: usize, json: bool) -> Result<(), Failure> {
    let answer = operator.get(&format!("{PATH}/history?limit={limit}"))?;

    if json {
        println!("{answer}");
        return Ok(());
    }

    for change in answer["changes"].as_array().into_iter().flatten() {
        let edits = serde_json::from_value::<Vec<Edit>>(change["edits"].clone())
            .map_err(|error| Failure::other(error.to_string()))?;
        println!(
            "version {} by {}, operation {}",
            change["version"],
            cell(&change["author"]),
            cell(&change["operation"]),
        );
        print!("{}", diff(&edits));
    }

    Ok(())
}

fn tree(operator: &Operator) -> Result<Tree, Failure> {
    let mut tree = Tree::default();

    for row in rows(&operator.get(PATH)?)? {
        tree.set(&row.path, &row.key, Some(&row.value));
    }

    Ok(tree)
}

fn rows(answer: &Value) -> Result<Vec<Row>, Failure> {
    serde_json::from_value(answer["nodes"].clone())
        .map_err(|error| Failure::other(format!("the answer has no nodes: {error}")))
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file)
        .map_err(|error| Failure::usage(format!("cannot read {}: {error}", file.display())))
}
