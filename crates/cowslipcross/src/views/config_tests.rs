use {
    super::{REWRITE_GRACE, full_read_due},
    std::time::Duration,
    tokio::time::Instant,
};

/// Guards against a withdrawal that stays in force for good: its row was removed around a restoration, and
/// the store was away when the time for the full read came.
#[test]
fn a_full_read_that_was_due_while_the_store_was_away_is_made_up_for() {
    let restored_at = Instant::now();
    let within_grace = restored_at + Duration::from_millis(100);
    let due = restored_at + REWRITE_GRACE;
    assert_eq!(
        full_read_due(Some(restored_at), Some(within_grace)),
        Some(due)
    );
    assert_eq!(full_read_due(Some(restored_at), None), Some(due));
}

#[test]
fn one_full_read_after_the_grace_is_enough() {
    let restored_at = Instant::now();
    let after_grace = restored_at + REWRITE_GRACE;
    assert_eq!(full_read_due(Some(restored_at), Some(after_grace)), None);
    assert_eq!(full_read_due(None, Some(restored_at)), None);
}
