//! The leader's heartbeats, and the others' reports of their load.

use {
    crate::{
        clock,
        context::Context,
        events::HybridTimestamp,
        lead::leader_loop,
        peers::{
            datagram,
            membership::{self, Member, Membership},
            message::{Heartbeat, Message, Report},
            owners,
        },
        serve::permits,
        views::{news, targets},
    },
    cowslip_decide::names::Name,
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Period of the reports to the leader.
const REPORT: Duration = Duration::from_millis(500);
/// Most keys of one report; of more the busiest are told.
const MOST_KEYS: usize = 100;
/// Time after which an instance that sends no report is not counted.
const FORGOTTEN: Duration = Duration::from_secs(4);

/// Instances that sent a report.
pub type Members = BTreeMap<SocketAddr, Heard>;

/// What an instance reported last.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// Its weight.
    pub weight: u8,
    /// Whether the store answered it.
    pub able: bool,
    /// When the report came.
    pub at: Instant,
}

/// Takes a heartbeat.
pub fn hear(context: &Context, beat: Heartbeat, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(beat.stamp));
    let mut lead = context.election.borrow_mut();
    if beat.seat < lead.row_version() {
        return;
    }
    lead.apply_heartbeat(beat.seat, clock::local_time());
    drop(lead);
    context.leader_address.set(Some(from));
    context.last_heartbeat.set(Some(Instant::now()));
    context.instance_count.set(beat.instances.max(1));
    context.update_reported_version(beat.config);
    for (service, recorded) in &beat.owners {
        owners::follow(context, service, recorded, from);
    }
    targets::hear(context, beat.targets);
}

/// Takes the members that the leader tells.
pub fn join(context: &Context, text: &str) {
    match Membership::read(text) {
        Some(membership) => *context.membership.borrow_mut() = membership,
        None => context.metrics.count_bad_datagram(),
    }
}

/// Takes a report, and tells its sender the members if it knows others.
pub fn reported(context: &Context, report: Report, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(report.stamp));
    context.update_reported_version(report.config);
    let known = report.membership == context.membership.borrow().hash();
    leader_loop::apply_report(context, from, report);
    if context.is_leader() && !known {
        let text = context.membership.borrow().text();
        datagram::send_now(context, &Message::Members(text), from);
    }
}

/// Tells the leader the load of keys for ever.
pub async fn report(context: Rc<Context>) {
    let weight = membership::weight(context.settings.cpu);
    loop {
        sleep(REPORT).await;
        // Old keys say little, so they go where there is no leader, too.
        let report = Report {
            stamp: context.events.next_timestamp().into(),
            weight,
            able: context.store_reachable.get(),
            membership: context.membership.borrow().hash(),
            config: context.operator_version.get(),
            keys: drain(&context),
            paces: permits::service_times(&context),
        };
        match context.leader_address.get() {
            Some(own) if own == context.settings.listen.heartbeats => {
                reported(&context, report, own);
            }
            Some(leader) => datagram::send_now(&context, &Message::Report(report), leader),
            None => {}
        }
    }
}

/// Sends heartbeats to all that reported of late.
pub async fn beat(context: &Context) {
    let membership = Membership::new(members(context));
    let count = membership.members().len().max(1) as u32;
    // A new leader has not heard of all yet, and a share that is too large does harm.
    let count = match context.leader_since.get() {
        Some(since) if since.elapsed() < FORGOTTEN => count.max(context.instance_count.get()),
        _ => count,
    };
    context.instance_count.set(count);
    let message = Message::Beat(Heartbeat {
        stamp: context.events.next_timestamp().into(),
        seat: context.election.borrow().row_version(),
        owners: owners::versions(context),
        instances: count,
        membership: membership.hash(),
        config: context.operator_version.get(),
        targets: news::tell(context),
    });
    let own = context.settings.listen.heartbeats;
    let others = membership.members().iter().map(|it| it.address);
    let others: Vec<SocketAddr> = others.filter(|it| *it != own).collect();
    *context.membership.borrow_mut() = membership;
    datagram::send_all(context, &message, &others).await;
}

/// Returns the instances that reported of late.
fn members(context: &Context) -> Vec<Member> {
    let now = Instant::now();
    let mut reports = context.peer_reports.borrow_mut();
    reports
        .members
        .retain(|_, heard| now - heard.at < FORGOTTEN);
    let members = reports.members.iter();
    let members = members.map(|(address, heard)| Member {
        address: *address,
        weight: heard.weight,
    });
    members.collect()
}

/// Takes the keys of requests since the last report, for each service the busiest.
fn drain(context: &Context) -> BTreeMap<Name, Vec<(u16, u32)>> {
    let sample = context.key_counts.take();
    let busiest = |keys: BTreeMap<u16, u32>| {
        let mut keys: Vec<_> = keys.into_iter().collect();
        keys.sort_unstable_by_key(|(_, requests)| Reverse(*requests));
        keys.truncate(MOST_KEYS);
        keys
    };
    let sample = sample.into_iter();
    sample.map(|(name, keys)| (name, busiest(keys))).collect()
}
