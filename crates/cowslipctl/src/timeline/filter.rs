//! Which events of a time line are wanted.

use {
    super::event::Event, clap::ArgMatches, cowslip_decide::names::Name, std::collections::BTreeSet,
};

/// Conditions that an event must meet; an absent one is met by all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Key or range.
    pub key: Option<Name>,
    /// Target.
    pub target: Option<Name>,
    /// Instance that recorded the event or that it is about.
    pub instance: Option<Name>,
    /// Request with its attempts, or order.
    pub request: Option<Name>,
    /// Data centre of the instance that recorded the event.
    pub data_centre: Option<Name>,
}

impl Filter {
    /// Returns the events that meet all conditions.
    pub fn kept<'a>(&self, events: impl Iterator<Item = &'a Event> + Clone) -> Vec<&'a Event> {
        let requests = self.request.as_ref().map(|id| requests(events.clone(), id));
        let wanted = |event: &Event| match (&requests, &event.request) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(wanted), Some(id)) => wanted.iter().any(|whole| part_of(id, whole)),
        };
        events
            .filter(|event| self.passes(event) && wanted(event))
            .collect()
    }

    /// Returns whether an event meets the conditions that concern it alone.
    fn passes(&self, event: &Event) -> bool {
        let same =
            |wanted: &Option<Name>, found: &Option<Name>| wanted.is_none() || wanted == found;
        let instance = self.instance.as_ref();
        let of = instance
            .is_none_or(|name| *name == event.process || event.instance.as_ref() == Some(name));
        let centre = self.data_centre.as_ref();
        same(&self.key, &event.key)
            && same(&self.target, &event.target)
            && of
            && centre.is_none_or(|name| *name == event.data_centre)
    }
}

impl From<&ArgMatches> for Filter {
    fn from(matches: &ArgMatches) -> Self {
        let name = |id: &str| matches.get_one::<String>(id).map(|it| it.as_str().into());
        Self {
            key: name("key"),
            target: name("target"),
            instance: name("instance"),
            request: name("request"),
            data_centre: name("data-centre"),
        }
    }
}

/// Returns an id together with the requests whose events name it, as those of an order do.
fn requests<'a>(events: impl Iterator<Item = &'a Event>, id: &Name) -> BTreeSet<Name> {
    let naming = events.filter(|event| names(&event.text, id));
    let found = naming.filter_map(|event| event.request.clone());
    found.chain([id.clone()]).collect()
}

/// Returns whether a text contains `id` as a whole word.
fn names(text: &str, id: &str) -> bool {
    let letter = |it: char| it.is_ascii_alphanumeric();
    text.match_indices(id)
        .any(|(at, _)| !text[..at].ends_with(letter) && !text[at + id.len()..].starts_with(letter))
}

/// Returns whether `id` is the request `whole` or one of its attempts, as in `whole.2`.
fn part_of(id: &str, whole: &str) -> bool {
    let rest = id.strip_prefix(whole);
    rest.is_some_and(|rest| !rest.starts_with(|it: char| it.is_ascii_alphanumeric()))
}
