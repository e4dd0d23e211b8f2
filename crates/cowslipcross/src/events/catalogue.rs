//! Every kind of event: its number, level, text, meaning and what an operator does about it.

use {
    super::{EventCode, EventFields},
    serde::Serialize,
};

/// Events recorded per second of a frequent kind; further ones are only counted.
const FREQUENT_RATE: Option<u32> = Some(50);

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// A step in the handling of a request.
    Debug,
    /// A change in normal operation.
    Info,
    /// A failure that the system recovers from by itself.
    Warn,
    /// A failure that an operator should look at.
    Error,
}

/// A kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventKind {
    /// Number of the kind.
    pub code: EventCode,
    /// Severity.
    pub level: Level,
    /// Events recorded per second; `None` for all.
    pub rate: Option<u32>,
    /// Text with placeholders for the fields of an event.
    pub template: &'static str,
    /// What has happened, for the page of events.
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

        /// Every kind, sorted by number for binary search.
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
        "The process has started and listens on its ports."; "Nothing.";
    102 SHUTDOWN_STARTED Info None; "shutdown started: {detail}";
        "The process reports itself as not ready and finishes the requests in progress.";
        "Nothing.";
    103 SHUTDOWN_FINISHED Info None; "shutdown finished: {detail}";
        "The process ends: no request is in progress any more, or the grace period is over.";
        "Nothing.";
    106 CONNECTION_REFUSED Warn FREQUENT_RATE; "connection of a caller not accepted: {detail}";
        "A connection was not accepted, or ended before its request was whole, for lack of file descriptors or memory.";
        "Look for callers that leave connections open.";
    107 TASK_FAILED Error None; "task failed to start: {detail}";
        "A task of the process could not start; the process runs without it.";
        "Restart the process; look at the detail if it fails again.";
    108 SETTINGS_IGNORED Warn None; "settings not known: {detail}";
        "The settings file has fields that this build does not know; they have no effect.";
        "Nothing, if the file was written for a later build; otherwise correct the names.";
    206 ASSIGNMENTS_UPDATED Info None; "assignments updated: {detail}";
        "The instance uses a later version of a service's assignments."; "Nothing.";
    210 ASSIGNMENTS_RECORDED Info None; "assignments recorded: {detail}";
        "The leader has written a service's assignments to the store."; "Nothing.";
    304 CONFIG_APPLIED Info None; "configuration in force: {detail}";
        "The instance uses a later configuration."; "Nothing.";
    305 CONFIG_REJECTED Error None; "configuration rejected: {detail}";
        "A configuration, or a part of it, cannot be read; if all of it cannot, the previous one stays in force.";
        "Run `cowslipctl check` on the configuration and correct it.";
    306 DATA_CENTRE_WITHDRAWN Info None; "data centre withdrawn: {detail}";
        "Targets of the data centre get no new work from this instance."; "Nothing.";
    307 DATA_CENTRE_RESTORED Info None; "data centre restored: {detail}";
        "Targets of the data centre may get new work again."; "Nothing.";
    404 TARGET_SHED Debug FREQUENT_RATE; "target {target} shed request {request}: {detail}";
        "The target refused a request without running it.";
        "If it is frequent, compare the slots that the target reports with the load it can serve.";
    405 TARGET_DRAINING Info None; "target {target} draining: {detail}";
        "The target finishes its work and gets no new work."; "Nothing.";
    408 TARGET_QUIET Info FREQUENT_RATE; "target {target} wants no requests from this instance: {detail}";
        "The target refused a request and asked this instance to send no further ones for some time.";
        "If it is frequent, compare the slots that the target reports with the load it can serve.";
    409 GRANT_REFUSED Warn FREQUENT_RATE; "target {target} refused a grant: {detail}";
        "The target has seen a higher fence for these keys than that of the grant.";
        "Nothing, if it ends within seconds of a move.";
    410 TARGET_LIMITED Info FREQUENT_RATE; "target {target} limits its requests: {detail}";
        "The target takes only so many requests a second from all instances together, until it names no limit any more.";
        "Look at the target if it stays limited.";
    502 BAD_REQUEST Debug FREQUENT_RATE; "bad request {request}: {detail}";
        "A caller sent an invalid request."; "Tell the caller's team.";
    504 RETRY Debug FREQUENT_RATE; "request {request} retried: {detail}";
        "An attempt got a server error or no complete response; the request is idempotent and is sent again."; "Nothing.";
    510 MAY_HAVE_RUN Warn FREQUENT_RATE; "no complete response to request {request}: {detail}";
        "The target sent no complete response; the verdict is `may-have-run`.";
        "See the page on unserved requests.";
    511 TARGET_ENDED Warn FREQUENT_RATE; "target {target} ended while it ran request {request}: {detail}";
        "The target closed the connection without a response, and nothing listens at its address, as other instances confirm.";
        "Compare the content of the requests under which targets end; if it is the same, look for its caller.";
    512 REQUEST_BLOCKED Warn FREQUENT_RATE; "requests that crash targets are refused: {detail}";
        "Several targets have ended while they ran requests with this content, and none has served one lately.";
        "Find the request and its caller by the content in `CC0511`, and correct the targets.";
    513 BLOCK_LIFTED Info FREQUENT_RATE; "requests are no longer refused: {detail}";
        "A target has served a request with this content, so that it is not what makes targets end."; "Nothing.";
    514 END_REFUTED Info FREQUENT_RATE; "target {target} has not ended: {detail}";
        "A target that instances took for ended under a request goes on reporting itself; that end counts no more."; "Nothing.";
    601 SETTINGS_RELOADED Info None; "settings reloaded: {detail}";
        "The process uses the section `bounds` of the settings file as it is now; other changes need a restart."; "Nothing.";
    602 SETTINGS_RELOAD_FAILED Error None; "settings not reloaded: {detail}";
        "The settings file is invalid; the previous settings stay in force."; "Correct the file.";
    603 STORE_UNAVAILABLE Warn None; "store unavailable: {detail}";
        "The platform's store does not answer this task; the data read before stays in use.";
        "See the page on outages of the store.";
    604 STORE_RECOVERED Info None; "store available: {detail}";
        "The platform's store answers this task again."; "Nothing.";
    605 TARGET_REPORT_INVALID Warn FREQUENT_RATE; "report of a target skipped: {detail}";
        "A row in the table of targets cannot be read; the other rows are used.";
        "Find out who writes to the table of targets.";
    606 ROW_INVALID Error FREQUENT_RATE; "row invalid: {detail}";
        "A row of the router's own table cannot be read; the previous value stays in use.";
        "Find out who writes to the table.";
    607 WRITE_UNANSWERED Warn FREQUENT_RATE; "write not answered: {detail}";
        "The store may have carried out a write of the leader, or may do so later; the leader reads it back.";
        "Nothing, if `CC0609` does not follow.";
    608 LEADERSHIP_GAINED Info None; "leader: {detail}";
        "This instance assigns keys to targets from now on."; "Nothing.";
    609 LEADERSHIP_LOST Warn None; "no longer leader: {detail}";
        "Another instance takes over once the lease has expired.";
        "Nothing, if another instance reports `CC0608`.";
    610 WRITE_REFUSED Warn FREQUENT_RATE; "write refused: {detail}";
        "The store did not carry out a write of the leader."; "Look at the store of the platform.";
    611 TARGET_ADDED Info FREQUENT_RATE; "target {target} added: {detail}";
        "A target reports itself for the first time, or after a restart."; "Nothing.";
    612 TARGET_REMOVED Info FREQUENT_RATE; "target {target} removed: {detail}";
        "A target's report is no longer in the store; the target gets no new work."; "Nothing.";
    613 ASSIGNMENT_RELEASED Info FREQUENT_RATE; "keys {key} released by target {target}: {detail}";
        "The target has given up keys that the leader assigns to another target."; "Nothing.";
    614 COMMAND_FAILED Warn FREQUENT_RATE; "command for keys {key} to target {target} failed: {detail}";
        "A grant or a release failed; the leader sends it again while the target is to own or release the keys.";
        "If it lasts, look at the network between the leader and the target.";
    615 EVENTS_SKIPPED Info None; "events not recorded so far: {detail}";
        "Some kinds of event exceeded their rate; the counts are since the start of the process.";
        "Nothing; metrics of requests, attempts, commands and store calls are complete.";
    616 RELEASE_STARTED Info FREQUENT_RATE; "release of keys {key} requested from target {target}: {detail}";
        "The leader takes keys back; the target replies when its work on them is done, and new requests for them wait.";
        "Nothing, if `CC0613` follows.";
    617 STORE_RESTORED Warn None; "store restored from a backup: {detail}";
        "The era of the store has risen: what was written last may be missing, and versions are given out again. Everything is read again.";
        "Nothing, if `CC0608` follows on one instance; see the page on outages of the store.";
    618 TARGETS_UNREACHABLE Warn None; "targets unreachable: {detail}";
        "This instance cannot connect to several targets that other instances reach. Its requests are passed on by other instances, and it does not lead.";
        "Look at the network between the instance and the targets.";
    619 TARGETS_REACHABLE Info None; "targets reachable: {detail}";
        "This instance has connected to a target itself; its requests take their own way again."; "Nothing.";
    620 FORMAT_CHANGED Info None; "messages between instances: {detail}";
        "All instances read another format of messages than before, as an upgrade or a return to the former build has ended or begun.";
        "Nothing; see the page on upgrades.";
    621 MESSAGE_UNREADABLE Warn None; "message of instance {instance} cannot be read: {detail}";
        "The sender runs a build with messages that this one does not know, or the message is malformed. It was dropped; told once for each sender.";
        "Nothing during an upgrade; otherwise look for a foreign sender.";
    622 STORE_TIME_UNKNOWN Error FREQUENT_RATE; "time of the store not known: {detail}";
        "A response of the store has no time of its clock that can be read. Without it no instance becomes or stays leader.";
        "Look at the store of the platform; without a leader, keys lose their owners within seconds.";
    623 CLAIM_DEFERRED Warn Some(1); "leader's row not claimed: {detail}";
        "The row has been free for a second and more, and this instance would claim it, but may not yet.";
        "Nothing, if an instance reports `CC0608` within 15 s; otherwise look at the store's latency.";
    701 UNSERVED Info FREQUENT_RATE; "request {request} unserved: {detail}";
        "The router answered a caller in place of a target, with a verdict and a reason.";
        "See the page on unserved requests.";
    702 WRONG_OWNER Info FREQUENT_RATE; "request {request} refused by target {target}: {detail}";
        "The target does not own the key any more; the request waits for the next assignments.";
        "Nothing, if it ends within a second.";
    703 NO_CONNECTION Info FREQUENT_RATE; "request {request} not sent to target {target}: {detail}";
        "The target accepted no connection; nothing was sent.";
        "If it lasts, look at the target and at the network to it.";
    704 ALLOTMENT_USED Info FREQUENT_RATE; "request refused, allotment used: {detail}";
        "The caller's organisation asks for more requests than its limit allows at all instances together.";
        "Nothing, if the organisation is known to; raise its limit in the configuration otherwise.";
    999 UNKNOWN_CODE Error FREQUENT_RATE; "unlisted event: {detail}";
        "The program used a number that is not in this catalogue."; "Report it to the developers.";
}

/// Returns the kind with a number, or the last kind, [`UNKNOWN_CODE`], if it is not listed.
pub fn find_kind(code: EventCode) -> &'static EventKind {
    let index = CATALOGUE.binary_search_by_key(&code, |kind| kind.code);
    &CATALOGUE[index.unwrap_or(CATALOGUE.len() - 1)]
}

impl EventKind {
    /// Returns the template with the fields of an event; `-` stands for an absent field.
    pub fn format_text(&self, fields: &EventFields) -> String {
        let mut text = String::with_capacity(96);
        let mut rest = self.template;
        while let Some((before, after)) = rest.split_once('{') {
            text.push_str(before);
            let (name, after) = after.split_once('}').unwrap_or((after, ""));
            text.push_str(fields.field(name).unwrap_or("-"));
            rest = after;
        }
        text.push_str(rest);
        text
    }

    /// Returns the table row of this kind in `docs/EVENTS.md`.
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
    /// Returns the lower-case name, as in logs and docs.
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
    fn field(&self, name: &str) -> Option<&str> {
        match name {
            "request" => self.request.as_deref(),
            "key" => self.key.as_deref(),
            "target" => self.target.as_deref(),
            "instance" => self.instance.as_deref(),
            _ => self.detail.as_deref(),
        }
    }
}
