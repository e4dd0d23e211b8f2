//! Filter for the events of a timeline.

use {super::event::Event, clap::ArgMatches, cowslip_decide::names::Name};

/// Conditions that an event must meet; `None` matches every event.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Key or key range, compared as text.
    pub key: Option<Name>,
    /// ID of the target.
    pub target: Option<Name>,
    /// Instance that recorded the event or that it is about.
    pub instance: Option<Name>,
    /// ID of the request, attempt or command.
    pub request: Option<Name>,
    /// Data centre of the instance that recorded the event.
    pub data_centre: Option<Name>,
}

impl EventFilter {
    /// Returns the events that meet all conditions, in their order.
    pub fn select<'a>(&self, events: impl Iterator<Item = &'a Event>) -> Vec<&'a Event> {
        events.filter(|event| self.matches(event)).collect()
    }

    fn matches(&self, event: &Event) -> bool {
        let is_match =
            |wanted: &Option<Name>, found: &Option<Name>| wanted.is_none() || wanted == found;
        let wanted_instance = self.instance.as_ref();
        let is_instance = wanted_instance
            .is_none_or(|name| *name == event.process || event.instance.as_ref() == Some(name));
        let wanted_centre = self.data_centre.as_ref();
        is_match(&self.key, &event.key)
            && is_match(&self.request, &event.request)
            && is_match(&self.target, &event.target)
            && is_instance
            && wanted_centre.is_none_or(|name| *name == event.data_centre)
    }
}

impl From<&ArgMatches> for EventFilter {
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
