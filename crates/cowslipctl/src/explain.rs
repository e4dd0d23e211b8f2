//! What the logs of instances say of one request: its own lines, then those about its keys.

use {
    crate::{
        error::{Error, Result},
        output::CommandOutput,
    },
    clap::ArgMatches,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
};

/// Time before the first line of a request from which lines about its keys count, in milliseconds.
const BEFORE: u64 = 5000;

/// Time after the last line of a request up to which they count: a release is told when it is over.
const AFTER: u64 = 2000;

/// Events of moves and orders, of the leader and of the store, that explain what became of a request.
const CAUSES: [&str; 11] = [
    "CC0210", "CC0206", "CC0405", "CC0603", "CC0604", "CC0608", "CC0609", "CC0612", "CC0613",
    "CC0614", "CC0616",
];

/// A line of a log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    wall: u64,
    #[serde(default)]
    count: u32,
    process: String,
    code: String,
    text: String,
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    key: Option<String>,
    #[serde(default)]
    target: Option<String>,
}

/// Explains a request from the logs of all instances.
///
/// # Errors
/// Fails if a log cannot be read or none mentions the request.
pub fn explain_request(matches: &ArgMatches) -> Result<CommandOutput> {
    let id = matches
        .get_one::<String>("request")
        .cloned()
        .unwrap_or_default();
    let files = matches.get_many::<PathBuf>("log").unwrap_or_default();
    let mut lines = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|cause| Error::File {
            file: path.display().to_string(),
            cause,
        })?;
        lines.extend(text.lines().filter_map(line));
    }
    let found = explain(&lines, &id);
    if found.is_empty() {
        return Err(Error::Failure(format!("no line is about request {id:?}")));
    }
    let text = found.iter().map(|line| {
        let (wall, count) = (line.wall, line.count);
        format!(
            "{wall}.{count} {} {} {}\n",
            line.process, line.code, line.text
        )
    });
    let rows: Vec<Value> = found
        .iter()
        .map(|line| json!({"wall": line.wall, "process": line.process, "code": line.code, "text": line.text}))
        .collect();
    Ok(CommandOutput::success(
        text.collect::<String>(),
        json!({"request": id, "lines": rows}),
    ))
}

/// Reads a line of a log; what stands before its JSON is left out, and other lines are passed over.
fn line(text: &str) -> Option<Line> {
    serde_json::from_str(&text[text.find('{')?..]).ok()
}

/// Returns the lines about a request and those about its keys and targets around its end.
fn explain<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let own = |line: &&Line| line.request.as_deref() == Some(id);
    let mine: Vec<&Line> = lines.iter().filter(own).collect();
    let (Some(first), Some(last)) = (
        mine.iter().map(|line| line.wall).min(),
        mine.iter().map(|line| line.wall).max(),
    ) else {
        return Vec::new();
    };
    let key = mine
        .iter()
        .find_map(|line| line.key.as_deref()?.parse().ok());
    let targets: Vec<&str> = mine
        .iter()
        .filter_map(|line| line.target.as_deref())
        .collect();
    let process = mine[0].process.as_str();
    let related = |line: &&Line| {
        let near = (first.saturating_sub(BEFORE)..=last + AFTER).contains(&line.wall);
        let about = match (&line.key, &line.target) {
            (Some(range), _) => key.is_some_and(|key| covers(range, key)),
            (None, Some(target)) => line.process == process && targets.contains(&target.as_str()),
            (None, None) => line.process == process || line.code == "CC0608",
        };
        line.request.is_none() && near && about && CAUSES.contains(&line.code.as_str())
    };
    let mut found: Vec<&Line> = lines
        .iter()
        .filter(related)
        .chain(mine.iter().copied())
        .collect();
    found.sort_by_key(|line| (line.wall, line.count));
    found
}

/// Returns whether a range such as `100-200` has the key.
fn covers(range: &str, key: u16) -> bool {
    let ends = range.split_once('-').unwrap_or((range, range));
    match (ends.0.parse(), ends.1.parse()) {
        (Ok(first), Ok(last)) => (first..=last).contains(&key),
        _ => false,
    }
}
