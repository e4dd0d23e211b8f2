//! The callers' organisations: who calls, by API key, and how many requests of an organisation are let in.

use {
    crate::{
        context::Context,
        events::{self, EventFields},
        peers::{
            datagram,
            extensible::{Admissions, ExtensibleMessage, UsageReport},
        },
        serve::request::BadRequest,
    },
    cowslip_adapter::{
        config::Config,
        organisations::{Organisation, hash_key},
    },
    cowslip_decide::{
        allotments::{
            Admission, Allotment,
            entry::{Decision, EntryAdmission},
            ledger::Ledger,
        },
        names::{Name, StoreVersion},
    },
    std::{
        cell::RefCell, collections::BTreeMap, hash::RandomState, net::SocketAddr, rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval of reports to the leader and of its notices, while organisations have limits.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Priorities of routes within one of an organisation; lower ones count as the last of these.
const ROUTE_PRIORITIES: u8 = 16;
/// Organisations of which the metrics tell one by one: those with the most requests.
pub const MAX_LISTED: usize = 20;

/// State of the organisations at this instance.
#[derive(Default)]
pub struct Organisations {
    directory: RefCell<Option<Rc<Directory>>>,
    entry: RefCell<EntryAdmission>,
    /// The account of all instances; only while this instance leads.
    ledger: RefCell<Option<Ledger<SocketAddr>>>,
    /// Requests of each organisation that were let in and refused since the start.
    counts: RefCell<BTreeMap<Name, RequestCounts>>,
}

/// Organisations of the configuration in force.
#[derive(Debug)]
struct Directory {
    /// Keyed hash of the API keys; its key is this process's own.
    hash_state: RandomState,
    /// Organisations by the hashes of their keys.
    keys: BTreeMap<u64, Rc<Organisation>>,
    allotments: BTreeMap<Name, Allotment>,
}

/// Requests of an organisation since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// Requests that were let in.
    pub admitted: u64,
    /// Requests that were refused, as the organisation had used its allotment.
    pub refused: u64,
}

impl Organisations {
    /// Takes the organisations out of a new configuration, so that the keys are kept only as hashes.
    pub fn replace(&self, config: &mut Config) {
        let directory = config.organisations.as_mut().map(|all| {
            let hash_state = RandomState::new();
            let mut keys = BTreeMap::new();
            for organisation in all.iter_mut() {
                let own_keys = std::mem::take(&mut organisation.keys);
                let shared = Rc::new(organisation.clone());
                for key in own_keys {
                    // Of organisations with the same key, the first one has it.
                    let holder = keys.entry(key.hash(&hash_state));
                    holder.or_insert_with(|| shared.clone());
                }
            }
            let limited = all.iter();
            let allotments = limited.filter_map(|it| Some((it.name.clone(), it.allotment?)));
            Rc::new(Directory {
                allotments: allotments.collect(),
                hash_state,
                keys,
            })
        });
        if let Some(directory) = &directory {
            let mut entry = self.entry.borrow_mut();
            entry.retain(|name| directory.allotments.contains_key(name));
        }
        self.directory.replace(directory);
    }

    /// Returns the organisation that a key belongs to; `None` as organisation if callers need no key.
    ///
    /// # Errors
    /// Fails if there are organisations and none of them has the key.
    pub fn find_caller(&self, key: Option<&[u8]>) -> Result<Option<Rc<Organisation>>, BadRequest> {
        let directory = self.directory.borrow();
        let Some(directory) = directory.as_ref() else {
            return Ok(None);
        };
        let hash = key.map(|it| hash_key(&directory.hash_state, it));
        let found = hash.and_then(|it| directory.keys.get(&it));
        found.cloned().map(Some).ok_or(BadRequest::UnknownKey)
    }

    /// Returns whether organisations have limits.
    fn has_limits(&self) -> bool {
        let directory = self.directory.borrow();
        directory
            .as_ref()
            .is_some_and(|it| !it.allotments.is_empty())
    }

    /// Returns the counts of the organisations with the most requests, and of all others together.
    pub fn largest(&self) -> (Vec<(Name, RequestCounts)>, RequestCounts) {
        let counts = self.counts.borrow();
        let mut all: Vec<_> = counts
            .iter()
            .map(|(name, it)| (name.clone(), *it))
            .collect();
        all.sort_by_key(|(_, it)| std::cmp::Reverse(it.admitted + it.refused));
        let others = all.split_off(all.len().min(MAX_LISTED));
        let sum = others
            .iter()
            .fold(RequestCounts::default(), |sum, (_, it)| RequestCounts {
                admitted: sum.admitted + it.admitted,
                refused: sum.refused + it.refused,
            });
        (all, sum)
    }
}

/// Lets a request of an organisation in, or refuses it if the organisation has used its allotment.
///
/// # Errors
/// Fails with the time after which the caller should come back.
pub fn admit(context: &Context, organisation: &Organisation) -> Result<(), BadRequest> {
    let organisations = &context.organisations;
    let mut counts = organisations.counts.borrow_mut();
    let counts = counts.entry(organisation.name.clone()).or_default();
    let Some(allotment) = organisation.allotment else {
        counts.admitted += 1;
        return Ok(());
    };
    let now = Instant::now();
    let instances = (context.instance_count.get(), rand::random());
    let mut entry = organisations.entry.borrow_mut();
    match entry.admit(&organisation.name, allotment, instances, now) {
        Decision::Admit => {
            counts.admitted += 1;
            Ok(())
        }
        Decision::Refuse(wait) => {
            counts.refused += 1;
            let (admission, age) = entry.describe(&organisation.name, now);
            record_refusal(context, organisation, allotment, (admission, age));
            Err(BadRequest::OverAllotment(wait))
        }
    }
}

/// Records that a request that was let in did not run.
pub fn give_back(context: &Context, organisation: &Organisation) {
    let mut entry = context.organisations.entry.borrow_mut();
    entry.give_back(&organisation.name);
}

/// Returns the rank of a request: its organisation's priority goes before that of its route.
pub fn rank(organisation: Option<&Organisation>, route_priority: u8) -> u8 {
    match organisation {
        None => route_priority,
        Some(it) => {
            let own = it.priority.saturating_mul(ROUTE_PRIORITIES);
            own.saturating_add(route_priority.min(ROUTE_PRIORITIES - 1))
        }
    }
}

/// Reports the use of allotments to the leader, and tells the admissions as leader; never returns.
pub async fn exchange_usage(context: Rc<Context>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        if !context.organisations.has_limits() {
            continue;
        }
        report_usage(&context);
        match context.is_leader() && context.leader_since.get().is_some() {
            true => tell_admissions(&context),
            false => drop(context.organisations.ledger.take()),
        }
    }
}

fn report_usage(context: &Context) {
    let usage = context
        .organisations
        .entry
        .borrow_mut()
        .take_usage(Instant::now());
    let report = UsageReport::from(&usage);
    match context.leader_address.get() {
        Some(own) if own == context.settings.listen.heartbeats => {
            handle_usage(context, &report, own)
        }
        Some(leader) => {
            let message = ExtensibleMessage::Usage(report);
            datagram::try_send_extensible(context, &message, leader);
        }
        None => {}
    }
}

/// Adds an instance's use of allotments to the account, if this instance leads.
pub fn handle_usage(context: &Context, report: &UsageReport, from: SocketAddr) {
    let mut ledger = context.organisations.ledger.borrow_mut();
    if let Some(ledger) = ledger.as_mut() {
        ledger.record_usage(from, &report.into(), Instant::now());
    }
}

fn tell_admissions(context: &Context) {
    let now = Instant::now();
    let organisations = &context.organisations;
    let mut ledger = organisations.ledger.borrow_mut();
    let ledger = ledger.get_or_insert_with(|| Ledger::new(now));
    if let Some(directory) = organisations.directory.borrow().as_ref() {
        let allotments = directory.allotments.iter();
        ledger.set_allotments(allotments.map(|(name, it)| (name, *it)), now);
    }
    let Some(admissions) = ledger.admissions(now) else {
        return;
    };
    let leader = context.election.borrow().row_version().into();
    let message = ExtensibleMessage::Admissions(Admissions::new(leader, &admissions));
    organisations.entry.borrow_mut().apply(admissions, now);
    let own = context.settings.listen.heartbeats;
    let membership = context.membership.borrow();
    let others = membership.members().iter().map(|it| it.address);
    for member in others.filter(|it| *it != own) {
        datagram::try_send_extensible(context, &message, member);
    }
}

/// Applies what the leader tells, unless a later leader is known.
pub fn handle_admissions(context: &Context, admissions: &Admissions) {
    if StoreVersion::from(admissions.leader) < context.election.borrow().row_version() {
        return;
    }
    let mut entry = context.organisations.entry.borrow_mut();
    entry.apply(admissions.into(), Instant::now());
}

fn record_refusal(
    context: &Context,
    organisation: &Organisation,
    allotment: Allotment,
    (admission, age): (Admission, Option<Duration>),
) {
    let age = age.map_or_else(
        || "never".into(),
        |age| format!("{} ms ago", age.as_millis()),
    );
    let detail = format!(
        "organisation {}, {} a second, burst {}, {:.2} let in, told {age}",
        organisation.name, allotment.rate, allotment.burst, admission.ratio
    );
    let fields = EventFields {
        detail: Some(detail),
        ..EventFields::default()
    };
    context.events.record(events::ALLOTMENT_USED, fields);
}

#[cfg(test)]
#[path = "organisations_tests.rs"]
mod tests;
