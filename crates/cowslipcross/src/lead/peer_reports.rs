//! Latest reports of the instances to the leader.

use {
    crate::{
        context::Context,
        peers::{
            heartbeat_protocol::{MemberReport, MemberReports},
            membership::{Member, Membership},
            message::InstanceReport,
        },
    },
    cowslip_decide::{
        names::Name,
        owners::{KeyLoads, TargetCapacities},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Latest reports of the instances to the leader.
#[derive(Debug, Default)]
pub struct PeerReports {
    /// Load of keys by service.
    pub key_loads: BTreeMap<Name, KeyLoads>,
    /// Mean service time of targets in milliseconds.
    pub service_times: BTreeMap<Name, u32>,
    /// Last report of each member.
    pub members: MemberReports,
}

impl PeerReports {
    /// Returns the mean of the reported service times of targets; `None` if there are none.
    pub fn mean_service_time(&self, targets: &TargetCapacities) -> Option<Duration> {
        let times = targets
            .keys()
            .filter_map(|id| self.service_times.get(id).copied());
        let times: Vec<u32> = times.collect();
        let sum = Duration::from_millis(times.iter().map(|it| u64::from(*it)).sum());
        (!sum.is_zero()).then(|| sum / times.len() as u32)
    }

    /// Returns the loads of a service's keys.
    pub fn key_loads(&mut self, service: &Name) -> &mut KeyLoads {
        self.key_loads.entry(service.clone()).or_default()
    }
}

/// Returns the member with the greatest weight among the other instances that reach the store and targets.
pub fn find_successor(context: &Context) -> Option<Member> {
    let own = context.settings.listen.heartbeats;
    let reports = context.peer_reports.borrow();
    let candidates = reports.members.iter();
    let candidates = candidates.filter(|(address, report)| report.can_lead && **address != own);
    let members = candidates.map(|(address, report)| Member {
        address: *address,
        weight: report.weight,
    });
    Membership::new(members.collect()).strongest_except(own)
}

/// Adds the members known from the previous leader, so that heartbeats reach them before their
/// first reports to the new one.
pub fn add_known_members(context: &Context) {
    let mut reports = context.peer_reports.borrow_mut();
    let now = Instant::now();
    for member in context.membership.borrow().members() {
        let member_report = MemberReport {
            weight: member.weight,
            can_lead: false,
            received_at: now,
        };
        reports
            .members
            .entry(member.address)
            .or_insert(member_report);
    }
}

/// Applies an instance's report.
pub fn apply_report(context: &Context, from: SocketAddr, report: InstanceReport) {
    let mut reports = context.peer_reports.borrow_mut();
    let member_report = MemberReport {
        weight: report.weight,
        can_lead: report.can_lead,
        received_at: Instant::now(),
    };
    reports.members.insert(from, member_report);
    reports.service_times.extend(report.service_times);
    for (service, keys) in report.key_counts {
        let key_loads = reports.key_loads.entry(service).or_default();
        for (key, requests) in keys {
            key_loads.add_requests(key, f64::from(requests));
        }
    }
}
