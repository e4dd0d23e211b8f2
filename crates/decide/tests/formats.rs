//! The format that a deployment speaks while its instances are replaced by another build.

use {
    cowslip_decide::formats::{FIRST_FORMAT, Formats, LATEST_FORMAT},
    std::time::Duration,
    tokio::time::Instant,
};

/// Instances of the deployment; the first one leads.
const MEMBERS: [u8; 4] = [0, 1, 2, 3];

/// Plays ten seconds: members in `new` announce the latest format every second, and the leader tells.
/// Returns the leader's view.
fn play(formats: &mut Formats<u8>, new: &[u8], start: Instant) -> u16 {
    for second in 0..10 {
        let now = start + Duration::from_secs(second);
        for member in new {
            formats.record_announcement(*member, LATEST_FORMAT, now);
        }
        formats.next_to_tell(MEMBERS.into_iter(), true, now);
    }
    formats.spoken()
}

#[test]
fn the_format_rises_when_the_last_old_instance_has_gone_and_falls_when_one_comes() {
    let start = Instant::now();
    let mut formats = Formats::default();
    assert_eq!(play(&mut formats, &[0, 1, 2], start), FIRST_FORMAT);
    let replaced = start + Duration::from_secs(10);
    assert_eq!(play(&mut formats, &MEMBERS, replaced), LATEST_FORMAT);
    let went_back = start + Duration::from_secs(20);
    assert_eq!(play(&mut formats, &[0, 1, 3], went_back), FIRST_FORMAT);
}

#[test]
fn a_new_leader_does_not_raise_the_format_before_it_knows_all_members() {
    let now = Instant::now();
    let mut formats = Formats::default();
    formats.record_announcement(0, LATEST_FORMAT, now);
    let told = formats.next_to_tell([0].into_iter(), false, now);
    assert_eq!(told, Some(FIRST_FORMAT));
    // It keeps what the previous leader told.
    let mut formats = Formats::default();
    formats.record_told(LATEST_FORMAT, now);
    formats.record_announcement(0, LATEST_FORMAT, now);
    let told = formats.next_to_tell([0].into_iter(), false, now);
    assert_eq!(told, Some(LATEST_FORMAT));
}

#[test]
fn heartbeats_of_a_leader_that_does_not_tell_the_format_lower_it() {
    let start = Instant::now();
    let mut formats: Formats<u8> = Formats::default();
    formats.record_told(LATEST_FORMAT, start);
    for ms in (0..=3500).step_by(500) {
        formats.record_heartbeat(start + Duration::from_millis(ms));
        assert_eq!(formats.spoken(), LATEST_FORMAT, "at {ms} ms");
    }
    formats.record_heartbeat(start + Duration::from_millis(4000));
    assert_eq!(formats.spoken(), FIRST_FORMAT);
}

#[test]
fn the_format_stays_while_there_is_no_leader() {
    let start = Instant::now();
    let mut formats: Formats<u8> = Formats::default();
    formats.record_told(LATEST_FORMAT, start);
    // The next leader's first heartbeat comes together with what it tells.
    formats.record_told(LATEST_FORMAT, start + Duration::from_secs(5));
    formats.record_heartbeat(start + Duration::from_secs(5));
    assert_eq!(formats.spoken(), LATEST_FORMAT);
}

#[test]
fn a_format_of_a_later_build_counts_as_the_latest_one_known() {
    let now = Instant::now();
    let mut formats: Formats<u8> = Formats::default();
    formats.record_told(LATEST_FORMAT + 1, now);
    assert_eq!(formats.spoken(), LATEST_FORMAT);
}
