//! The events of all instances, merged in causal order.

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

/// Shows the merged events.
pub(crate) async fn show_timeline(
    settings: &OperatorSettings,
    matches: &ArgMatches,
) -> Result<CommandOutput> {
    let answers: Responses<EventPage> = instances::query_all(settings, "/events").await;
    let exit_status = status::exit(settings, &answers)?;
    let events = merge_events(&answers.reached, &EventFilter::from(matches));
    let gaps = gaps(&answers.reached);
    let missing = status::unreachable(&answers.unreachable);
    let json = json!({ "events": events, "gaps": gaps, "unreachable": answers.unreachable });
    let text = match format(matches) {
        "svg" => diagram::render_svg(&events).map_err(|error| Error::Failure(error.to_string()))?,
        "json" => format!("{json}\n"),
        _ => text(&events, &gaps) + &missing,
    };
    let Some(path) = matches.get_one::<PathBuf>("out") else {
        return Ok(CommandOutput {
            text,
            json,
            exit_status,
        });
    };
    save(path, &text)?;
    let file = path.display().to_string();
    Ok(CommandOutput {
        text: format!("{} events in {file}\n{missing}", events.len()),
        json: json!({
            "events": events.len(), "file": file, "gaps": gaps,
            "unreachable": answers.unreachable,
        }),
        exit_status,
    })
}

/// Returns the form of the output.
fn format(matches: &ArgMatches) -> &str {
    if matches.get_flag("json") {
        return "json";
    }
    matches
        .get_one::<String>("format")
        .map_or("text", String::as_str)
}

/// Merges pages in causal order; events of one stamp are ordered by process and number.
pub fn merge_events(pages: &BTreeMap<Name, EventPage>, filter: &EventFilter) -> Vec<Event> {
    let all = pages.values().flat_map(|page| &page.events);
    let mut events: Vec<Event> = filter.select(all).into_iter().cloned().collect();
    events.sort_by(|left, right| left.sort_key().cmp(&right.sort_key()));
    events
}

/// Returns by instance how many events are no longer to be had.
fn gaps(pages: &BTreeMap<Name, EventPage>) -> BTreeMap<Name, u64> {
    let missing = |page: &EventPage| page.dropped + page.skipped.values().sum::<u64>();
    let gaps = pages
        .iter()
        .map(|(name, page)| (name.clone(), missing(page)));
    gaps.filter(|(_, count)| *count > 0).collect()
}

fn text(events: &[Event], gaps: &BTreeMap<Name, u64>) -> String {
    let mut text: String = events.iter().map(|event| format!("{event}\n")).collect();
    for (name, count) in gaps {
        text += &format!("{name} no longer has {count} events\n");
    }
    text
}

fn save(path: &PathBuf, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|cause| Error::File {
        file: path.display().to_string(),
        cause,
    })
}
