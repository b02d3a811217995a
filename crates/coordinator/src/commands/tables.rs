//! Tables of what a coordinator answers, for people.

use serde_json::Value;

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Rows with columns of one width.
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

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn rows<'a>(list: &'a Value, keys: &'a [&str]) -> impl Iterator<Item = Vec<String>> + 'a {
    let all = list.as_array().into_iter().flatten();
    all.map(move |one| keys.iter().map(|key| plain(&one[*key])).collect())
}

/// One row a field.
pub(super) fn status(answer: &Value) -> Vec<Vec<String>> {
    let pairs = answer.as_object().into_iter().flatten();
    pairs
        .map(|(key, value)| vec![key.clone(), plain(value)])
        .collect()
}

/// The members with a vote, and which one leads.
pub(super) fn members(answer: &Value) -> Vec<Vec<String>> {
    let voters = answer["voters"].as_array().into_iter().flatten();
    let leadership = |name: &Value| {
        if *name == answer["leader"] {
            "leads"
        } else {
            ""
        }
    };
    let all = voters.map(|name| vec![plain(name), leadership(name).to_owned()]);
    std::iter::once(head(&["voice", ""])).chain(all).collect()
}

/// One row a server of a window.
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
    let mut table = vec![[vec!["window".to_owned(), "name".to_owned()], head(&keys)].concat()];
    for window in answer.as_array().into_iter().flatten() {
        let of = [plain(&window["window"]), plain(&window["name"])];
        table.extend(rows(&window["seats"], &keys).map(|row| [of.to_vec(), row].concat()));
    }
    table
}

/// What is there of each zone and group, and what counts as missing.
pub(super) fn capacity(answer: &Value) -> Vec<Vec<String>> {
    let keys = ["name", "listed", "present", "keep"];
    let mut table = vec![head(&keys)];
    table.extend(rows(&answer["rooms"], &keys));
    let debits = ["server", "weight", "why", "window"];
    table.push(Vec::new());
    table.push(head(&debits));
    table.extend(rows(&answer["debits"], &debits));
    table
}

/// When each server of a booked window goes.
pub(super) fn booked(answer: &Value) -> Vec<Vec<String>> {
    let (booked, keys) = (&answer["booked"], ["server", "wave", "start_ms", "end_ms"]);
    let mut table = vec![
        vec!["window".to_owned(), plain(&booked["window"])],
        head(&keys),
    ];
    table.extend(rows(&booked["times"], &keys));
    table
}
