//! The leader's heartbeats to the other instances, and their reports to the leader.

use {
    crate::{
        clock,
        context::Context,
        events::HybridTimestamp,
        lead::peer_reports,
        peers::{
            assignments, datagram, formats,
            membership::{self, Member, Membership},
            message::{InstanceReport, LeaderHeartbeat, Message, WireNotice},
        },
        serve::{coordinator, crashing_requests},
        views::{
            store_era,
            target_notices::{self, NoticeSource, TargetNotice},
            target_updates, targets,
        },
    },
    cowslip_decide::names::Name,
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval between reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Reports for each announcement of the formats that the instance reads.
const REPORTS_PER_ANNOUNCEMENT: u64 = 2;
/// Maximum number of keys in a report, for each service; of more the busiest are reported.
const MAX_REPORTED_KEYS: usize = 100;
/// Time since its last report after which an instance is no longer a member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(4);

/// Last report of each instance, by the address of its UDP socket.
pub type MemberReports = BTreeMap<SocketAddr, MemberReport>;

/// What the leader keeps of an instance's last report.
#[derive(Clone, Copy, Debug)]
pub struct MemberReport {
    /// Weight of the instance.
    pub weight: u8,
    /// Whether the instance reaches the store and targets.
    pub can_lead: bool,
    /// When the report arrived.
    pub received_at: Instant,
}

/// Applies a heartbeat, unless the version of the leader's row shows that the sender no longer
/// leads.
pub fn handle_heartbeat(context: &Context, heartbeat: LeaderHeartbeat, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(heartbeat.timestamp));
    store_era::observe(context, heartbeat.leader_version.era);
    let mut election = context.election.borrow_mut();
    let is_past_era = heartbeat.leader_version.era < context.era();
    if is_past_era || heartbeat.leader_version < election.row_version() {
        return;
    }
    election.apply_heartbeat(heartbeat.leader_version, clock::local_time());
    drop(election);
    formats::handle_heartbeat(context);
    context.leader_address.set(Some(from));
    context.last_heartbeat.set(Some(Instant::now()));
    context.instance_count.set(heartbeat.instance_count.max(1));
    context.update_reported_version(heartbeat.config_version);
    for (service, update) in &heartbeat.assignment_updates {
        assignments::apply_update(context, service, update, from);
    }
    targets::handle_update(context, heartbeat.target_update);
    handle_notices(context, heartbeat.notices);
    crashing_requests::handle_lifted(context, heartbeat.lifted);
    crashing_requests::handle_blocks(context, heartbeat.blocks);
}

/// Records what targets have said of themselves in responses to other instances.
pub fn handle_notices(context: &Context, notices: Vec<WireNotice>) {
    for wire in notices {
        let notice = TargetNotice::from(wire);
        context.events.observe_timestamp(notice.observed_at);
        target_notices::record(context, notice, NoticeSource::Instance);
    }
}

/// Returns the notices for a report of this instance.
fn own_notices(context: &Context) -> Vec<WireNotice> {
    let notices = context.target_notices.borrow();
    notices.own_recent(Instant::now()).map(Into::into).collect()
}

/// Returns the notices for a heartbeat of the leader.
fn notices_in_force(context: &Context) -> Vec<WireNotice> {
    let (notices, targets) = (context.target_notices.borrow(), context.targets.borrow());
    let in_force = notices.in_force(&targets, Instant::now());
    in_force.map(Into::into).collect()
}

/// Replaces the membership by the one that the leader sent.
pub fn handle_members(context: &Context, text: &str) {
    match Membership::parse(text) {
        Some(membership) => *context.membership.borrow_mut() = membership,
        None => context.metrics.count_bad_datagram(),
    }
}

/// Records a report; the leader sends its membership if that of the reporting instance differs.
pub fn handle_report(context: &Context, report: InstanceReport, from: SocketAddr) {
    context
        .events
        .observe_timestamp(HybridTimestamp::from(report.timestamp));
    context.update_reported_version(report.config_version);
    let is_current = report.membership_hash == context.membership.borrow().hash();
    handle_notices(context, report.notices.clone());
    crashing_requests::handle_lifted(context, report.lifted.clone());
    crashing_requests::handle_crashes(context, report.crashes.clone());
    peer_reports::apply_report(context, from, report);
    if context.is_leader() && !is_current {
        let text = context.membership.borrow().to_text();
        datagram::try_send(context, &Message::Members(text), from);
    }
}

/// Sends reports to the leader periodically; never returns.
pub async fn send_reports(context: Rc<Context>) {
    let weight = membership::cpu_weight(context.settings.cpu);
    for number in 0.. {
        sleep(REPORT_INTERVAL).await;
        let now = Instant::now();
        if u64::is_multiple_of(number, REPORTS_PER_ANNOUNCEMENT) {
            formats::announce(&context);
        }
        let (crashes, lifted) = context.crashing_requests.borrow_mut().for_report(now);
        // Key counts are reset even if there is no leader to report to, as old counts say little.
        let report = InstanceReport {
            timestamp: context.events.next_timestamp().into(),
            weight,
            can_lead: context.store_reachable.get() && !context.reach.borrow().is_lost(),
            membership_hash: context.membership.borrow().hash(),
            config_version: context.operator_version.get(),
            key_counts: take_key_counts(&context),
            service_times: coordinator::service_times(&context),
            notices: own_notices(&context),
            crashes,
            lifted,
        };
        match context.leader_address.get() {
            // The leader handles its own report without sending it.
            Some(own) if own == context.settings.listen.heartbeats => {
                handle_report(&context, report, own);
            }
            Some(leader) => datagram::try_send(&context, &Message::Report(report), leader),
            None => {}
        }
    }
}

/// Updates the membership from recent reports and sends a heartbeat to all other members.
pub async fn send_heartbeat(context: &Context) {
    let membership = Membership::new(recent_members(context));
    let count = membership.members().len().max(1) as u32;
    // A new leader lacks reports of some instances at first. A count that is too low would give
    // each instance too large a part of the limits that all share.
    let led_for = context.leader_since.get().map(|since| since.elapsed());
    let is_settled = led_for.is_none_or(|time| time >= MEMBER_TIMEOUT);
    let count = match is_settled {
        true => count,
        false => count.max(context.instance_count.get()),
    };
    context.instance_count.set(count);
    crashing_requests::review_ends(context);
    let now = Instant::now();
    let (blocks, lifted) = context.crashing_requests.borrow_mut().for_heartbeat(now);
    let message = Message::Heartbeat(LeaderHeartbeat {
        timestamp: context.events.next_timestamp().into(),
        leader_version: context.election.borrow().row_version(),
        assignment_updates: assignments::current_updates(context),
        instance_count: count,
        membership_hash: membership.hash(),
        config_version: context.operator_version.get(),
        target_update: target_updates::next_message(context),
        notices: notices_in_force(context),
        blocks,
        lifted,
    });
    let own = context.settings.listen.heartbeats;
    let members = membership.members().iter().map(|it| it.address);
    let members: Vec<SocketAddr> = members.collect();
    let others: Vec<SocketAddr> = members.iter().copied().filter(|it| *it != own).collect();
    *context.membership.borrow_mut() = membership;
    datagram::send_to_all(context, &message, &others).await;
    formats::tell_members(context, &members, is_settled);
}

/// Drops reports older than [`MEMBER_TIMEOUT`] and returns the instances that remain.
fn recent_members(context: &Context) -> Vec<Member> {
    let now = Instant::now();
    let mut reports = context.peer_reports.borrow_mut();
    reports
        .members
        .retain(|_, report| now - report.received_at < MEMBER_TIMEOUT);
    let members = reports.members.iter();
    let members = members.map(|(address, report)| Member {
        address: *address,
        weight: report.weight,
    });
    members.collect()
}

/// Returns the busiest keys of each service since the last report, and resets the counts.
fn take_key_counts(context: &Context) -> BTreeMap<Name, Vec<(u16, u32)>> {
    let counts = context.key_counts.take();
    let busiest = |keys: BTreeMap<u16, u32>| {
        let mut keys: Vec<_> = keys.into_iter().collect();
        keys.sort_unstable_by_key(|(_, requests)| Reverse(*requests));
        keys.truncate(MAX_REPORTED_KEYS);
        keys
    };
    let counts = counts.into_iter();
    counts.map(|(name, keys)| (name, busiest(keys))).collect()
}
