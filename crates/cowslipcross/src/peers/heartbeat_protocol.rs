//! The leader's heartbeats, and the others' reports of their load.

use {
    crate::{
        clock,
        context::Context,
        events::HybridTimestamp,
        lead::keep,
        peers::{
            assignment_updates, datagram,
            membership::{self, Member, Membership},
            message::{InstanceReport, LeaderHeartbeat, Message},
        },
        serve::permit,
        views::{target_updates, targets},
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
pub type MemberReports = BTreeMap<SocketAddr, MemberReport>;

/// What an instance reported last.
#[derive(Clone, Copy, Debug)]
pub struct MemberReport {
    /// Its weight.
    pub weight: u8,
    /// Whether the store answered it.
    pub store_reachable: bool,
    /// When the report came.
    pub received_at: Instant,
}

/// Takes a heartbeat.
pub fn handle_heartbeat(context: &Context, heartbeat: LeaderHeartbeat, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(heartbeat.timestamp));
    let mut lead = context.election.borrow_mut();
    if heartbeat.leader_version < lead.row_version() {
        return;
    }
    lead.apply_heartbeat(heartbeat.leader_version, clock::local_time());
    drop(lead);
    context.leader_address.set(Some(from));
    context.last_heartbeat.set(Some(Instant::now()));
    context.instance_count.set(heartbeat.instance_count.max(1));
    context.update_reported_version(heartbeat.config_version);
    for (service, recorded) in &heartbeat.assignment_updates {
        assignment_updates::apply_update(context, service, recorded, from);
    }
    targets::handle_update(context, heartbeat.targets);
}

/// Takes the members that the leader tells.
pub fn update_membership(context: &Context, text: &str) {
    match Membership::parse(text) {
        Some(membership) => *context.membership.borrow_mut() = membership,
        None => context.metrics.count_bad_datagram(),
    }
}

/// Takes a report, and tells its sender the members if it knows others.
pub fn handle_report(context: &Context, report: InstanceReport, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(report.timestamp));
    context.update_reported_version(report.config_version);
    let known = report.membership_hash == context.membership.borrow().hash();
    keep::report(context, from, report);
    if context.is_leader() && !known {
        let text = context.membership.borrow().to_text();
        datagram::try_send(context, &Message::Members(text), from);
    }
}

/// Tells the leader the load of keys for ever.
pub async fn send_reports(context: Rc<Context>) {
    let weight = membership::cpu_weight(context.settings.cpu);
    loop {
        sleep(REPORT).await;
        // Old keys say little, so they go where there is no leader, too.
        let report = InstanceReport {
            timestamp: context.events.next_timestamp().into(),
            weight,
            store_reachable: context.store_reachable.get(),
            membership_hash: context.membership.borrow().hash(),
            config_version: context.operator_version.get(),
            key_counts: take_key_counts(&context),
            service_times: permit::paces(&context),
        };
        match context.leader_address.get() {
            Some(own) if own == context.settings.listen.heartbeats => {
                handle_report(&context, report, own);
            }
            Some(leader) => datagram::try_send(&context, &Message::Report(report), leader),
            None => {}
        }
    }
}

/// Sends heartbeats to all that reported of late.
pub async fn send_heartbeat(context: &Context) {
    let membership = Membership::new(members(context));
    let count = membership.members().len().max(1) as u32;
    // A new leader has not heard of all yet, and a share that is too large does harm.
    let count = match context.leader_since.get() {
        Some(since) if since.elapsed() < FORGOTTEN => count.max(context.instance_count.get()),
        _ => count,
    };
    context.instance_count.set(count);
    let message = Message::Heartbeat(LeaderHeartbeat {
        timestamp: context.events.next_timestamp().into(),
        leader_version: context.election.borrow().row_version(),
        assignment_updates: assignment_updates::current_updates(context),
        instance_count: count,
        membership_hash: membership.hash(),
        config_version: context.operator_version.get(),
        targets: target_updates::next_message(context),
    });
    let own = context.settings.listen.heartbeats;
    let others = membership.members().iter().map(|it| it.address);
    let others: Vec<SocketAddr> = others.filter(|it| *it != own).collect();
    *context.membership.borrow_mut() = membership;
    datagram::send_to_all(context, &message, &others).await;
}

/// Returns the instances that reported of late.
fn members(context: &Context) -> Vec<Member> {
    let now = Instant::now();
    let mut reports = context.peer_reports.borrow_mut();
    reports
        .members
        .retain(|_, heard| now - heard.received_at < FORGOTTEN);
    let members = reports.members.iter();
    let members = members.map(|(address, heard)| Member {
        address: *address,
        weight: heard.weight,
    });
    members.collect()
}

/// Takes the keys of requests since the last report, for each service the busiest.
fn take_key_counts(context: &Context) -> BTreeMap<Name, Vec<(u16, u32)>> {
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
