//! What is known of targets, by the order in which it was observed, and for how long it is repeated.

use {
    super::{NoticeChange, NoticeSource, REPEAT_TIME, TargetNotice, TargetNotices},
    crate::{events::HybridTimestamp, views::target_snapshot::TargetSnapshot},
    cowslip_adapter::targets::TargetReport,
    cowslip_decide::{limits::RateLimit, names::StoreVersion, owners::TargetIncarnation},
    tokio::time::Instant,
};

const NO_CHANGE: NoticeChange = NoticeChange {
    newly_leaving: false,
    new_limit: false,
};
const NEW_LIMIT: NoticeChange = NoticeChange {
    newly_leaving: false,
    new_limit: true,
};

fn target(incarnation: u64) -> TargetIncarnation {
    TargetIncarnation {
        id: "a".into(),
        incarnation,
    }
}

fn limit(rate: f64) -> Option<RateLimit> {
    RateLimit::from_rate(rate)
}

fn notice(incarnation: u64, rate_limit: Option<RateLimit>, observed_at: u64) -> TargetNotice {
    TargetNotice {
        target: target(incarnation),
        leaving: false,
        rate_limit,
        observed_at: HybridTimestamp::from(observed_at),
    }
}

/// Returns targets of which `a` runs as incarnation 1.
fn listed_targets(now: Instant) -> TargetSnapshot {
    let report = TargetReport {
        id: "a".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "west".into(),
        slots: 2,
        draining: false,
        cold_remaining: std::time::Duration::ZERO,
        sequence: 1,
        incarnation: 1,
    };
    let version = StoreVersion { era: 0, number: 1 };
    let empty = TargetSnapshot::empty();
    empty.with_reports(vec![report], version, (now, now)).0
}

#[test]
fn the_limit_observed_last_applies_whoever_tells_of_it() {
    let now = Instant::now();
    let mut notices = TargetNotices::default();
    let (own, other) = (NoticeSource::OwnRequest, NoticeSource::Instance);
    assert_eq!(
        notices.record(notice(1, limit(2.0), 10), other, now),
        NEW_LIMIT
    );
    assert_eq!(notices.record(notice(1, None, 9), own, now), NO_CHANGE);
    assert_eq!(notices.rate_limit(&target(1)), limit(2.0));
    assert_eq!(
        notices.record(notice(1, limit(2.0), 12), own, now),
        NO_CHANGE
    );
    // The limit was named again after this instance had been told that it was lifted.
    assert_eq!(notices.record(notice(1, None, 11), other, now), NO_CHANGE);
    assert_eq!(notices.record(notice(1, None, 13), own, now), NEW_LIMIT);
    assert_eq!(notices.rate_limit(&target(1)), None);
}

#[test]
fn a_limit_ends_with_the_incarnation_that_named_it() {
    let now = Instant::now();
    let mut notices = TargetNotices::default();
    notices.record(notice(1, limit(2.0), 10), NoticeSource::OwnRequest, now);
    assert_eq!(notices.rate_limit(&target(2)), None);
    notices.record(notice(2, limit(3.0), 11), NoticeSource::Instance, now);
    let late = notices.record(notice(1, limit(2.0), 12), NoticeSource::Instance, now);
    assert_eq!(late, NO_CHANGE);
    assert_eq!(notices.rate_limit(&target(2)), limit(3.0));
}

#[test]
fn heartbeats_repeat_a_notice_for_as_long_as_it_is_in_force() {
    let start = Instant::now();
    let mut notices = TargetNotices::default();
    notices.record(notice(1, limit(2.0), 10), NoticeSource::OwnRequest, start);
    let listed = listed_targets(start);
    let later = start + 10 * REPEAT_TIME;
    assert_eq!(notices.in_force(&listed, later).count(), 1);
    // Reports contain it only for some time after the last response with it.
    assert_eq!(notices.own_recent(start).count(), 1);
    assert_eq!(notices.own_recent(later).count(), 0);
    notices.record(notice(1, limit(2.0), 11), NoticeSource::OwnRequest, later);
    assert_eq!(notices.own_recent(later).count(), 1);
    // That it was lifted is repeated for some time, too.
    notices.record(notice(1, None, 12), NoticeSource::OwnRequest, later);
    assert_eq!(notices.in_force(&listed, later).count(), 1);
    assert_eq!(notices.in_force(&listed, later + REPEAT_TIME).count(), 0);
}
