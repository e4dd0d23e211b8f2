//! Subcommand `timeline`: merges the events of all instances in causal order.

pub mod diagram;
pub mod event;
pub mod filter;

use {
    crate::{
        error::{Error, Result},
        instances::{self, Responses},
        output::CommandOutput,
        status,
    },
    clap::ArgMatches,
    cowslip_decide::names::Name,
    cowslip_settings::operator::OperatorSettings,
    event::{Event, EventPage},
    filter::EventFilter,
    serde_json::json,
    std::{collections::BTreeMap, fs, path::PathBuf},
};

/// Shows the merged events, or writes them to a file.
pub(crate) async fn show_timeline(
    settings: &OperatorSettings,
    matches: &ArgMatches,
) -> Result<CommandOutput> {
    let responses: Responses<EventPage> = instances::query_all(settings, "/events").await;
    let exit_status = status::exit_status(settings, &responses)?;
    let events = merge_events(&responses.reached, &EventFilter::from(matches));
    let gaps = count_gaps(&responses.reached);
    let unreachable_text = status::format_unreachable(&responses.unreachable);
    let json = json!({ "events": events, "gaps": gaps, "unreachable": responses.unreachable });
    let text = match output_format(matches) {
        "svg" => diagram::render_svg(&events).map_err(|error| Error::Failure(error.to_string()))?,
        "json" => format!("{json}\n"),
        _ => format_text(&events, &gaps) + &unreachable_text,
    };
    let Some(path) = matches.get_one::<PathBuf>("out") else {
        return Ok(CommandOutput {
            text,
            json,
            exit_status,
        });
    };
    write_file(path, &text)?;
    let file = path.display().to_string();
    Ok(CommandOutput {
        text: format!("{} events in {file}\n{unreachable_text}", events.len()),
        json: json!({
            "events": events.len(), "file": file, "gaps": gaps,
            "unreachable": responses.unreachable,
        }),
        exit_status,
    })
}

/// Returns `json` for `--json`, else the value of `--format`, else `text`.
fn output_format(matches: &ArgMatches) -> &str {
    if matches.get_flag("json") {
        return "json";
    }
    matches
        .get_one::<String>("format")
        .map_or("text", String::as_str)
}

/// Merges pages in causal order; equal timestamps are ordered by instance, incarnation and `seq`.
pub fn merge_events(pages: &BTreeMap<Name, EventPage>, filter: &EventFilter) -> Vec<Event> {
    let all = pages.values().flat_map(|page| &page.events);
    let mut events: Vec<Event> = filter.select(all).into_iter().cloned().collect();
    events.sort_by(|left, right| left.sort_key().cmp(&right.sort_key()));
    events
}

/// Counts the gaps of each instance: the events that it dropped or skipped.
fn count_gaps(pages: &BTreeMap<Name, EventPage>) -> BTreeMap<Name, u64> {
    let gap_count = |page: &EventPage| page.dropped + page.skipped.values().sum::<u64>();
    let gaps = pages
        .iter()
        .map(|(name, page)| (name.clone(), gap_count(page)));
    gaps.filter(|(_, count)| *count > 0).collect()
}

fn format_text(events: &[Event], gaps: &BTreeMap<Name, u64>) -> String {
    let mut text: String = events.iter().map(|event| format!("{event}\n")).collect();
    for (name, count) in gaps {
        text += &format!("{name}: {count} events dropped or skipped\n");
    }
    text
}

fn write_file(path: &PathBuf, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|cause| Error::File {
        file: path.display().to_string(),
        cause,
    })
}
