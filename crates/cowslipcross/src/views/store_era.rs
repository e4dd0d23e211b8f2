//! Era of the store, which rises when the store is restored from a backup.

use {
    crate::{clock, context::Context, events},
    tokio::time::Instant,
};

/// Follows the era of a response of the store, or of another instance's heartbeat.
///
/// All data read in an earlier era have to be read again: their versions are compared within an era
/// only. A leader stops acting until it has claimed its row in the new era.
pub fn observe(context: &Context, era: u64) {
    let known = context.store_era.get();
    if known.is_some_and(|known| known >= era) {
        return;
    }
    context.store_era.set(Some(era));
    context.unknown_until.set(None);
    let can_continue = context.leader_since.get().is_some();
    let is_bootstrap = known.is_none() && context.settings.bootstrap;
    context
        .election
        .borrow_mut()
        .enter_era(era, clock::local_time(), can_continue, is_bootstrap);
    if known.is_some() {
        context.restored_at.set(Some(Instant::now()));
        let is_continuing = context.election.borrow().is_continuing();
        let role = if is_continuing { ", led so far" } else { "" };
        context.record_event(events::STORE_RESTORED, format!("era {era}{role}"));
    }
    context.config_stale.notify_one();
    context.updates_missed.notify_waiters();
    context.refresh_requested.notify_one();
}
