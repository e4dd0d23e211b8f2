//! Subcommand `explain`: finds the log lines about a request and the events that may explain it.

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

/// Time before the first line of a request within which events count as related, in milliseconds.
const RELATED_BEFORE_MS: u64 = 5000;

/// Time after the last line of the request within which events count as related, in milliseconds.
///
/// A release of keys that made the request fail may follow, as it is logged only once it is over.
const RELATED_AFTER_MS: u64 = 2000;

/// Codes of events of moves, commands, the leader and the store that can affect a request.
///
/// In this order: assignments recorded, assignments updated, target draining, store unavailable,
/// store available, leadership gained, leadership lost, target removed, keys released, command
/// failed, release started.
const RELATED_CODES: [&str; 11] = [
    "CC0210", "CC0206", "CC0405", "CC0603", "CC0604", "CC0608", "CC0609", "CC0612", "CC0613",
    "CC0614", "CC0616",
];

/// A line of a JSON log.
#[derive(Clone, Debug, Deserialize)]
struct LogLine {
    /// Milliseconds since 1970 on the hybrid logical clock.
    wall: u64,
    /// Logical counter of that clock, which orders events of one millisecond.
    #[serde(default)]
    count: u32,
    /// Instance that logged the line.
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

/// Returns the log lines about a request and the related events, in causal order.
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
        lines.extend(text.lines().filter_map(parse_line));
    }
    let found = find_lines(&lines, &id);
    if found.is_empty() {
        return Err(Error::Failure(format!(
            "no log line mentions request {id:?}"
        )));
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

/// Parses the JSON of a log line, after a prefix such as a log collector adds; `None` if invalid.
fn parse_line(text: &str) -> Option<LogLine> {
    serde_json::from_str(&text[text.find('{')?..]).ok()
}

/// Returns the lines of a request and the related ones around it, by key, target or instance.
fn find_lines<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_own = |line: &&LogLine| line.request.as_deref() == Some(id);
    let own_lines: Vec<&LogLine> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (
        own_lines.iter().map(|line| line.wall).min(),
        own_lines.iter().map(|line| line.wall).max(),
    ) else {
        return Vec::new();
    };
    let key = own_lines
        .iter()
        .find_map(|line| line.key.as_deref()?.parse().ok());
    let targets: Vec<&str> = own_lines
        .iter()
        .filter_map(|line| line.target.as_deref())
        .collect();
    let instance = own_lines[0].process.as_str();
    let is_related = |line: &&LogLine| {
        let is_near = (first.saturating_sub(RELATED_BEFORE_MS)..=last + RELATED_AFTER_MS)
            .contains(&line.wall);
        // Lines with a key are matched by key alone; of the others, only those of the instance
        // that served the request count, except that a new leader (CC0608) affects all instances.
        let is_about = match (&line.key, &line.target) {
            (Some(range), _) => key.is_some_and(|key| contains_key(range, key)),
            (None, Some(target)) => line.process == instance && targets.contains(&target.as_str()),
            (None, None) => line.process == instance || line.code == "CC0608",
        };
        line.request.is_none() && is_near && is_about && RELATED_CODES.contains(&line.code.as_str())
    };
    let mut found: Vec<&LogLine> = lines
        .iter()
        .filter(is_related)
        .chain(own_lines.iter().copied())
        .collect();
    found.sort_by_key(|line| (line.wall, line.count));
    found
}

/// Returns whether a range such as `100-200`, ends included, contains the key.
fn contains_key(range: &str, key: u16) -> bool {
    let ends = range.split_once('-').unwrap_or((range, range));
    match (ends.0.parse(), ends.1.parse()) {
        (Ok(first), Ok(last)) => (first..=last).contains(&key),
        _ => false,
    }
}
