//! Which events of a time line are wanted.

use {super::event::Event, clap::ArgMatches, cowslip_decide::names::Name};

/// Conditions that an event must meet; an absent one is met by all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Key or range.
    pub key: Option<Name>,
    /// Target.
    pub target: Option<Name>,
    /// Instance that recorded the event or that it is about.
    pub instance: Option<Name>,
    /// Request.
    pub request: Option<Name>,
    /// Data centre of the instance that recorded the event.
    pub data_centre: Option<Name>,
}

impl EventFilter {
    /// Returns the events that meet all conditions.
    pub fn select<'a>(&self, events: impl Iterator<Item = &'a Event>) -> Vec<&'a Event> {
        events.filter(|event| self.passes(event)).collect()
    }

    fn passes(&self, event: &Event) -> bool {
        let same =
            |wanted: &Option<Name>, found: &Option<Name>| wanted.is_none() || wanted == found;
        let instance = self.instance.as_ref();
        let of = instance
            .is_none_or(|name| *name == event.process || event.instance.as_ref() == Some(name));
        let centre = self.data_centre.as_ref();
        same(&self.key, &event.key)
            && same(&self.request, &event.request)
            && same(&self.target, &event.target)
            && of
            && centre.is_none_or(|name| *name == event.data_centre)
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
