//! Plain-text tables.

use serde_json::Value;

/// Formats rows below their headings, in aligned columns.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let widths = headings
        .iter()
        .enumerate()
        .map(|(column, heading)| {
            let cells = rows.iter().map(|row| row[column].chars().count());
            cells.chain([heading.chars().count()]).max().unwrap_or(0)
        })
        .collect::<Vec<usize>>();
    let line = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect::<Vec<String>>();
        format!("{}\n", padded.join("  ").trim_end())
    };

    let mut text = line(headings.to_vec());

    for row in rows {
        text += &line(row.iter().map(String::as_str).collect());
    }

    text
}

/// Formats a list of objects as a table. `fields` has the heading and the name
/// of the field for each column.
pub fn objects(fields: &[(&str, &str)], list: &Value) -> String {
    let headings = fields
        .iter()
        .map(|(heading, _)| *heading)
        .collect::<Vec<_>>();
    let rows = list
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| fields.iter().map(|(_, field)| cell(&row[*field])).collect())
        .collect::<Vec<_>>();
    table(&headings, &rows)
}

/// Returns the text of a value in a table cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
