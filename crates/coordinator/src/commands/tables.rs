//! Tables for the answers of a coordinator.

use serde_json::Value;

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Renders rows with aligned columns.
pub(super) fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|r| r.get(column))
            .map(String::len)
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn rows<'a>(list: &'a Value, keys: &'a [&str]) -> impl Iterator<Item = Vec<String>> + 'a {
    let elements = list.as_array().into_iter().flatten();
    elements.map(move |element| keys.iter().map(|key| cell(&element[*key])).collect())
}

/// Returns one row per field.
pub(super) fn status(answer: &Value) -> Vec<Vec<String>> {
    let pairs = answer.as_object().into_iter().flatten();
    pairs
        .map(|(key, value)| vec![key.clone(), cell(value)])
        .collect()
}

/// Returns the voters, and which of them leads.
pub(super) fn members(answer: &Value) -> Vec<Vec<String>> {
    let voters = answer["voters"].as_array().into_iter().flatten();
    let leadership = |name: &Value| {
        if *name == answer["leader"] {
            "leads"
        } else {
            ""
        }
    };
    let members = voters.map(|name| vec![cell(name), leadership(name).to_owned()]);
    std::iter::once(header(&["voice", ""]))
        .chain(members)
        .collect()
}

/// Returns one row per server of each window.
pub(super) fn windows(answer: &Value) -> Vec<Vec<String>> {
    let keys = [
        "server",
        "state",
        "late",
        "start_ms",
        "end_ms",
        "token",
        "called_back",
        "reason",
    ];
    let mut table = vec![[vec!["window".to_owned(), "name".to_owned()], header(&keys)].concat()];
    for window in answer.as_array().into_iter().flatten() {
        let window_cells = [cell(&window["window"]), cell(&window["name"])];
        table
            .extend(rows(&window["seats"], &keys).map(|row| [window_cells.to_vec(), row].concat()));
    }
    table
}

/// Returns the available capacity of each zone and group, and what counts as unavailable.
pub(super) fn capacity(answer: &Value) -> Vec<Vec<String>> {
    let keys = ["name", "listed", "present", "keep"];
    let mut table = vec![header(&keys)];
    table.extend(rows(&answer["rooms"], &keys));
    let debits = ["server", "weight", "why", "window"];
    table.push(Vec::new());
    table.push(header(&debits));
    table.extend(rows(&answer["debits"], &debits));
    table
}

/// Returns the schedule of a booked window.
pub(super) fn booked(answer: &Value) -> Vec<Vec<String>> {
    let (booked, keys) = (&answer["booked"], ["server", "wave", "start_ms", "end_ms"]);
    let mut table = vec![
        vec!["window".to_owned(), cell(&booked["window"])],
        header(&keys),
    ];
    table.extend(rows(&booked["times"], &keys));
    table
}
