//! Every kind of event: its number, weight, text, meaning and what an operator does.

use {
    super::{EventCode, EventFields},
    serde::Serialize,
};

/// Events a second that a frequent kind records; further ones are counted.
const FREQUENT: Option<u32> = Some(50);

/// Weight of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// The course of a request; kept in the ring, not logged by default.
    Debug,
    /// A change that is part of ordinary work.
    Info,
    /// Something failed and the system deals with it.
    Warn,
    /// Something an operator should look at.
    Error,
}

/// A kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// Number.
    pub code: EventCode,
    /// Weight.
    pub level: Level,
    /// Events a second that are recorded; `None` for all.
    pub rate: Option<u32>,
    /// Text with places for what the event is about.
    pub template: &'static str,
    /// What has happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

macro_rules! catalogue {
    ($($code:literal $name:ident $level:ident $rate:expr; $template:literal; $meaning:literal; $action:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $name: EventCode = EventCode($code);
        )*

        /// Every kind in the order of the numbers.
        pub const CATALOGUE: &[EventKind] = &[
            $(EventKind {
                code: $name,
                level: Level::$level,
                rate: $rate,
                template: $template,
                meaning: $meaning,
                action: $action,
            },)*
        ];
    };
}

catalogue! {
    101 INSTANCE_STARTED Info None; "started: {detail}";
        "The process runs and listens."; "Nothing.";
    102 SHUTDOWN_STARTED Info None; "stop begun: {detail}";
        "The process tells that it is not ready and finishes what is in flight."; "Nothing.";
    103 SHUTDOWN_FINISHED Info None; "stop ended: {detail}";
        "Nothing is in flight any more and the process ends."; "Nothing.";
    106 CONNECTION_REFUSED Warn FREQUENT; "connection of a caller not accepted: {detail}";
        "A connection could not be accepted, for want of descriptors for example.";
        "Look for callers that leave connections open.";
    107 TASK_FAILED Error None; "duty failed: {detail}";
        "A duty could not start, and the process cannot do its part.";
        "Restart the process; look at the detail if it fails again.";
    206 ASSIGNMENTS_UPDATED Info None; "owners adopted: {detail}";
        "The instance follows later owners of keys."; "Nothing.";
    210 ASSIGNMENTS_RECORDED Info None; "owners recorded: {detail}";
        "The leader has written owners of keys to the store."; "Nothing.";
    304 CONFIG_APPLIED Info None; "configuration in force: {detail}";
        "The instance follows a later configuration."; "Nothing.";
    305 CONFIG_REJECTED Error None; "configuration refused: {detail}";
        "A configuration, or a part of it, cannot be read; without the whole the former stays in force.";
        "Run `cowslipctl check` on the configuration and mend it.";
    306 DATA_CENTRE_WITHDRAWN Info None; "data centre withdrawn: {detail}";
        "Targets of the data centre get no new work from this instance."; "Nothing.";
    307 DATA_CENTRE_RESTORED Info None; "data centre restored: {detail}";
        "Targets of the data centre may get new work again."; "Nothing.";
    404 TARGET_SHED Debug FREQUENT; "target {target} shed request {request}: {detail}";
        "The target refused a request without running it.";
        "If it is frequent, compare the slots that the target reports with what it bears.";
    405 TARGET_DRAINING Info None; "target {target} leaving: {detail}";
        "The target drains and gets no new work."; "Nothing.";
    409 GRANT_REFUSED Warn FREQUENT; "target {target} refused a grant: {detail}";
        "The target has seen a higher fence for a range than that of the grant.";
        "Nothing, if it ends within seconds of a move.";
    502 BAD_REQUEST Debug FREQUENT; "bad request {request}: {detail}";
        "A caller sent what is not valid."; "Tell the caller's team.";
    504 RETRY Debug FREQUENT; "request {request} tried again: {detail}";
        "An attempt ended as `not-run` or may be repeated."; "Nothing.";
    510 MAY_HAVE_RUN Warn FREQUENT; "answer to request {request} broken: {detail}";
        "No whole answer came back from the target; the verdict is `may-have-run`.";
        "See the page on unserved requests.";
    601 SETTINGS_RELOADED Info None; "settings read again: {detail}";
        "The process follows the settings file."; "Nothing.";
    602 SETTINGS_RELOAD_FAILED Error None; "settings not read again: {detail}";
        "The settings file is not valid; the former settings stay in force."; "Mend the file.";
    603 STORE_UNAVAILABLE Warn None; "store down: {detail}";
        "The platform's store does not answer this duty; what is known stays in force.";
        "See the page on outages of the store.";
    604 STORE_RECOVERED Info None; "store up: {detail}";
        "The platform's store answers this duty again."; "Nothing.";
    605 TARGET_REPORT_INVALID Warn FREQUENT; "report of a target skipped: {detail}";
        "A row among the targets cannot be read; the others hold.";
        "Look who writes among the targets.";
    606 ROW_INVALID Error FREQUENT; "row refused: {detail}";
        "A row of the project's own table cannot be read; the former one stays in force.";
        "Look who writes to the table.";
    607 WRITE_UNANSWERED Warn FREQUENT; "write without an answer: {detail}";
        "The store may have carried out a write of the leader, or may do so later; it is read back.";
        "Nothing, if `CC0609` does not follow.";
    608 LEADERSHIP_GAINED Info None; "leader: {detail}";
        "This instance keeps the owners of keys from now on."; "Nothing.";
    609 LEADERSHIP_LOST Warn None; "no longer leader: {detail}";
        "Another instance takes over once the lease has run out.";
        "Nothing, if another instance tells `CC0608`.";
    610 WRITE_REFUSED Warn FREQUENT; "write refused: {detail}";
        "The store did not carry out a write of the leader."; "Look at the platform.";
    611 TARGET_ADDED Info FREQUENT; "target {target} found: {detail}";
        "A target reports itself, or has started again."; "Nothing.";
    612 TARGET_REMOVED Info FREQUENT; "target {target} gone: {detail}";
        "A target's report is no longer there; it gets no new work."; "Nothing.";
    613 ASSIGNMENT_RELEASED Info FREQUENT; "keys {key} released by target {target}: {detail}";
        "The leader has taken keys back to give them to another target."; "Nothing.";
    614 COMMAND_FAILED Warn FREQUENT; "order about keys {key} to target {target} failed: {detail}";
        "A grant or a release got no answer; it is sent again.";
        "If it lasts, look at the path between the leader and the target.";
    615 EVENTS_SKIPPED Info None; "events not recorded so far: {detail}";
        "Kinds came more often than their rate; the numbers count from the start of the process.";
        "Nothing; the metrics count every one.";
    616 RELEASE_STARTED Info FREQUENT; "keys {key} are to leave target {target}: {detail}";
        "The leader takes keys back; the answer waits for the work on them, and requests wait too.";
        "Nothing, if `CC0613` follows.";
    701 UNSERVED Info FREQUENT; "request {request} unserved: {detail}";
        "A caller got an answer that is not a target's, with its verdict and reason.";
        "See the page on unserved requests.";
    702 WRONG_OWNER Info FREQUENT; "request {request} refused by target {target}: {detail}";
        "The target does not own the key any more; the recorded owners are read.";
        "Nothing, if it ends within a second.";
    703 NO_CONNECTION Info FREQUENT; "request {request} not sent to target {target}: {detail}";
        "The target took no connection; nothing was sent.";
        "If it lasts, look at the target and at the path to it.";
    999 UNKNOWN_CODE Error FREQUENT; "unlisted event: {detail}";
        "The program used a number that is not in this catalogue."; "Report it to the developers.";
}

/// Returns the kind of a number.
pub fn find_kind(code: EventCode) -> &'static EventKind {
    let place = CATALOGUE.binary_search_by_key(&code, |kind| kind.code);
    &CATALOGUE[place.unwrap_or(CATALOGUE.len() - 1)]
}

impl EventKind {
    /// Returns the text of an event of this kind.
    pub fn format_text(&self, about: &EventFields) -> String {
        let mut text = String::with_capacity(96);
        let mut rest = self.template;
        while let Some((before, after)) = rest.split_once('{') {
            text.push_str(before);
            let (place, after) = after.split_once('}').unwrap_or((after, ""));
            text.push_str(about.field(place).unwrap_or("-"));
            rest = after;
        }
        text.push_str(rest);
        text
    }

    /// Returns the row of this kind in `docs/EVENTS.md`.
    pub fn doc_row(&self) -> String {
        format!(
            "| `{}` | {} | {} | {} | {} |",
            self.code,
            self.level.as_str(),
            self.template,
            self.meaning,
            self.action
        )
    }
}

impl Level {
    /// Returns the word that logs and docs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warn => "warn",
            Self::Error => "error",
        }
    }
}

impl From<Level> for spdlog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Debug => Self::Debug,
            Level::Info => Self::Info,
            Level::Warn => Self::Warn,
            Level::Error => Self::Error,
        }
    }
}

impl EventFields {
    fn field(&self, place: &str) -> Option<&str> {
        match place {
            "request" => self.request.as_deref(),
            "key" => self.key.as_deref(),
            "target" => self.target.as_deref(),
            "instance" => self.instance.as_deref(),
            _ => self.detail.as_deref(),
        }
    }
}
